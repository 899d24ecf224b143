#!/usr/bin/env bash
# Builds the stand-ins of the second review below target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2 -cp 'target/serving/*' \
    $(find review/stand-ins-2 -name '*.java' | sort)
