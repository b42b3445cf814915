#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it in the root of the repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
go build -o ../target/review/standin2 ./standin2
