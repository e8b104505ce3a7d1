#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -d target/platform ] || exit 2
timeout -k 2 115 java -Xmx256m -cp target/review review.standin.Main mixed review/4/record.txt
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
