#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file: one program, which plays the platform's
# store, the replicas and the consumers. It uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/player review/standin-2/main.rs
