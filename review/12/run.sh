#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardramp ] && [ -x target/review-3 ] || exit 2
exec target/review-3 successors review/12/record.txt
