#!/bin/sh
# Builds what the cases 4 to 8 start beside the project's own program: two programs that hold the stand-ins of
# runners, platform, machines, operators and clients.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -buildvcs=false -o target/review2/harness2 ./review/_harness2
go build -trimpath -buildvcs=false -o target/review2/harness3 ./review/_harness3
