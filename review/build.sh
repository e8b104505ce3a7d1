#!/usr/bin/env bash
# Compiles the stand-ins and the cases with the JDK alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -encoding UTF-8 --release 17 -d target/review review/standin/*.java
