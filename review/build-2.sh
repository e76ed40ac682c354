#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, all in one program. Run it in the root, after the
# build of deploy/system.toml. It needs no network: the program uses the standard library only.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-kit2 ./review/_kit2
