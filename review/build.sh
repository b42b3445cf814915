#!/bin/sh
# Builds the stand-ins of all cases into review/bin. It needs no network: only the standard library is used.
set -e
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOWORK=off go build -o bin/standin ./standin
