#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/_harness
