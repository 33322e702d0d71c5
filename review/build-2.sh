#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin-2
