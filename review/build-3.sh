#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 11 to 15 into target/review-3. They use nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standin-3/*.java
