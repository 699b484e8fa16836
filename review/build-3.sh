#!/bin/sh
# Builds the stand-ins of the cases 11 to 13 into target/. Needs no network.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/rig-3 .
