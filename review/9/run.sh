#!/usr/bin/env bash
# Plays the case `raised-limits`; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/standin
[ -x "$program" ] && [ -x target/release/yucca-platform ] || { echo "build first"; exit 2; }
exec "$program" raised-limits review/9/record.txt
