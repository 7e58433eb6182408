#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-2 ] || exit 2
timeout --signal=KILL 118 review/bin/case-2 review/2/record.txt
result=$?
[ $result -le 2 ] && exit $result
exit 2
