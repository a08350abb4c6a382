#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run; writes record.txt beside it. TROUBLE=0:
# without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
program=$folder/../../target/review-2/case-5
[ -x "$program" ] || { echo "build review/build-2.sh first" >&2; exit 2; }
exec "$program" "$folder/record.txt"
