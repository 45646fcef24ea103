#!/usr/bin/env bash
# Builds what the scripts of review/7 and 8 start besides the daemon: the rig with its stand-ins, and the project's stand-in of the
# platform's store, which is a part of it.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-rig ./review/harness-2
