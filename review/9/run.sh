#!/usr/bin/env bash
# Runs the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/Pending ] && [ -x target/daisylanding ] || exit 2
exec target/review-2/Pending review/9
