#!/bin/bash
# Runs case 14; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-14
[ -x "$program" ] && [ -x target/programs/sapphirewind ] || exit 2
timeout -k 1 115 "$program" review/14
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || exit 2
exit "$code"
