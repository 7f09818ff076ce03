#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
PROGRAM="$ROOT/target/review/lasting-gang"
[ -x "$PROGRAM" ] && [ -x "$ROOT/target/daisylanding" ] || exit 2
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
timeout -k 5 110 "$PROGRAM" "$HERE" "$FOLDER" "$ROOT/target/daisylanding"
CODE=$?
[ "$CODE" -le 1 ] || CODE=2
exit "$CODE"
