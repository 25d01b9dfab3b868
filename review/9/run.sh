#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
[ -x "$root/target/dragonflypond" ] && [ -x "$root/target/review-2/driver" ] || { echo "build first: the deploy file, then review/build-2.sh" >&2; exit 2; }
PROGRAM="$root/target/dragonflypond" WORK="$work" RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}" \
	timeout -k 5 118 "$root/target/review-2/driver" revoke
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
