#!/usr/bin/env bash
# Builds the stand-ins and cases; needs only the JDK. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf out && mkdir out
javac -encoding UTF-8 -Xlint:all -d out harness/*.java
