#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -C debuginfo=0 -o target/review-2/standin review/standin-2/main.rs
