#!/bin/sh
# Builds the stand-ins of the third review. Needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code -o target/review-3/stand review/stand-3/main.rs
