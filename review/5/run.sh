#!/usr/bin/env bash
# Plays a configuration that takes the only tenant away, and its key with it.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
for program in target/pathhead-node target/review-2/rig2; do
	if [[ ! -x $program ]]; then
		echo "$program is missing: build as in deploy/system.toml, then review/build-2.sh"
		exit 2
	fi
done
trouble=true
if [[ ${TROUBLE:-1} == 0 ]]; then
	trouble=false
fi
exec target/review-2/rig2 play -record "$here/record.txt" -trouble=$trouble 5
