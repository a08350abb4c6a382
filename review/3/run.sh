#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
node=$PWD/target/apps/knapweedstile/knapweedstile
[ -x "$node" ] && [ -x target/review/case3 ] || exit 2
KNAP_NODE_PROGRAM=$node timeout -k 5 115 target/review/case3 review/3/record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
