#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/mustardramp ] || exit 2
exec target/review-2 gone review/9/record.txt
