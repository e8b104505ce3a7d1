#!/usr/bin/env bash
# Runs case 10 after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/platform.jsa ] && [ -d target/review-2 ] || exit 2
timeout -k 5 110 java -Xmx256m -cp target/review-2 review.standin2.Main late review/10/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
