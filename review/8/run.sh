#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
JAVA_HOME=$(bin/java-home) || exit 2
TEMPORARY=$(mktemp -d) || exit 2
trap 'rm -rf "$TEMPORARY"' EXIT
"$JAVA_HOME/bin/java" -Xmx512m -cp 'target/review-2:target/serving/*' \
    org.pollenhoist.review.StreamsAfterPowerLoss review/8 "$TEMPORARY"
exit $?
