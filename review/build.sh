#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOTOOLCHAIN=local GOWORK=off go build -o ../target/review/standin .
