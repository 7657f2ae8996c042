#!/bin/sh
# Builds the harness of the cases 9 to 13, with all their stand-ins, as target/review-3.
cd "$(dirname "$0")/.." || exit 2
exec go build -trimpath -buildvcs=false -o target/review-3 ./review/_harness3
