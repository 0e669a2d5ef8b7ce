#!/usr/bin/env bash
# Runs the case; see claim.txt. Build first: the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/yuccaspool-node ] && [ -x target/review-2/case-10 ] || exit 2
timeout -k 1 115 target/review-2/case-10 review/10/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
