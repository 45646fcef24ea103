#!/usr/bin/env bash
# Plays case 4; TROUBLE=0 plays it without the disruption. Build first: the build line of deploy/system.toml, then review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] || { echo "not run: build first with review/build.sh"; exit 2; }
[ -x target/dogwoodledged ] || { echo "not run: build first with the build line of deploy/system.toml"; exit 2; }
LOGS=$(mktemp -d) || exit 2
export LOGS
target/review/harness removed-route review/4 &
trap 'kill $!' TERM INT
wait $!
code=$?
rm -rf "$LOGS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
