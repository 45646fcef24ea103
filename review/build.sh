#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, the project's own among them, into target/review/. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/harness
