#!/bin/sh
# Builds every stand-in that the scripts of the cases 11 to 15 start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 && go build -o target/review-3/standin ./review/_standin-3
