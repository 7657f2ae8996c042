#!/bin/sh
# Builds the stand-ins and the judge of the scripts. It needs no network after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -trimpath -buildvcs=false -o target/review-harness ./review/_harness
