#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard
# library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review-2
cd review/stand-2
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o "$root/target/review-2/stand2" .
