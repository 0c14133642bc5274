#!/bin/sh
# Builds the stand-ins of the second review, with the Rust compiler alone. They need nothing from a registry.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
