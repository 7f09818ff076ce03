#!/usr/bin/env bash
# A gang that can never be placed comes before a job that can.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 115 target/review-stage hopeless-gang "$Folder" target/daisylanding \
  review/4/record.txt
Code=$?
[ "$Code" -le 1 ] || Code=2
exit "$Code"
