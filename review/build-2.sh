#!/bin/sh
# Builds the stand-ins that the scripts of the second review start; needs only rustc.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2 || exit 1
exec rustc --edition 2024 -O review/stand-ins-2/main.rs -o target/review-2/stand-ins
