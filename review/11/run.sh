#!/bin/sh
# Plays case 11; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin3 comments review/11/record.txt
