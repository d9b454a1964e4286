#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/target/mustardramp" ] && [ -x "$root/target/review-stand" ] || exit 2
REVIEW_ROOT=$root exec "$root/target/review-stand" memory "$folder"
