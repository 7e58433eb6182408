#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
name=$(basename "$here")
[ -x "target/review-2/case-$name" ] && [ -x target/apps/gentianroute ] || exit 2
timeout -k 2 110 "target/review-2/case-$name" "$here"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
