#!/usr/bin/env bash
# Plays the case in some 70 s, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves
# the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pathhead-node ] && [ -x target/review-drill ] || exit 2
exec target/review-drill surplus review/3
