#!/usr/bin/env bash
# A new replica's first heartbeat meets a control member that stands still, and the primary crashes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -f target/review-3/Unheard.class ] && [ -d target/platform ] || { echo "run deploy/build and review/build-3.sh first" >&2; exit 2; }
exec timeout -k 5 115 java -cp target/review-3 Unheard review/11/record.txt
