#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 7 to 10 into target/review-2. They use nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java
