#!/bin/sh
# Builds the stand-ins and the cases of the third review, with the JDK that the deploy file names.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes-3
javac -d target/classes-3 src-3/*.java
