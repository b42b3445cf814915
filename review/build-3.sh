#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/, beside the programs of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/standin3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/standin3 .
