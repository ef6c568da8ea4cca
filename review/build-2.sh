#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review; needs only the JDK. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -Xlint:all -d target/review-2 review/harness-2/*.java
