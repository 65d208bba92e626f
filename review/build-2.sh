#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 and later start, into target/.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o ../../target/review-2 .
