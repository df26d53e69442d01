#!/bin/sh
# Builds the stand-ins of the cases, without any package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/world review/world/main.rs
