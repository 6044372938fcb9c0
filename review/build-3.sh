#!/bin/sh
# Builds the stand-ins that the scripts of the cases 13 to 15 start; they need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in stale_load unanswered first_start; do
    rustc --edition 2024 -O -o "target/review-3/$name" "review/standin-3/$name.rs"
done
