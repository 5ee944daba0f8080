#!/usr/bin/env bash
# Builds the stand-ins and scenarios of all cases; they need nothing but the toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
