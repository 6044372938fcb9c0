#!/bin/sh
# Case 14. Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/unanswered ] || exit 2
exec target/review-3/unanswered "$here"
