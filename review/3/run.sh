#!/usr/bin/env bash
# Runs the case once: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/left ] && [ -x ../../bin/robindrum-node ] || { echo 'build first: the deploy file, then review/build.sh'; exit 2; }
exec ../bin/left .
