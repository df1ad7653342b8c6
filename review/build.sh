#!/usr/bin/env bash
# Builds the program that plays the scripts of the review. The build of the deploy file
# comes first; it puts the entry into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-testbed ./review/_testbed
