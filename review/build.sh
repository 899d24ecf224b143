#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/ into target/review. Needs a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -encoding UTF-8 -d target/review review/standins/*.java
