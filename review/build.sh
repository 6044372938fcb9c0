#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. They need no crates.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
