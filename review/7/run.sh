#!/bin/sh
# Case 7 of the second review, see claim.txt. Run after the build of the deploy file and
# review/build-2.sh. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/cases team-limit review/7/record.txt
