#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and above start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/stand-2
