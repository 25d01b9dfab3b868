#!/bin/sh
# Plays the case once; TROUBLE=0 leaves the disruption out. Build target/ and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || exit 2
REVIEW_CASE=shutdown REVIEW_RECORD=review/4/record.txt exec review/bin/standin
