#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/harness3 ] && [ -x target/tealpond ] || exit 2
exec target/review2/harness3 shifted-names target/tealpond review/8/record.txt
