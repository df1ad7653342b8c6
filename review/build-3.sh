#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the entry: the stand-ins of the platform.
# The entry is built before, by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-fleet3 ./review/_fleet3
