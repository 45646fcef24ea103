#!/usr/bin/env bash
# Runs VMs of the daemon of commit BASE beside VMs of the work tree, and fails if they don't understand each other.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${1:-}
if [ -z "$base" ]; then
  echo "beside: BASE is empty: name the commit of the old build, as in make beside BASE=HEAD~1" >&2
  exit 2
fi
if ! commit=$(git rev-parse --verify --quiet "$base^{commit}"); then
  echo "beside: BASE is $base, which is no commit of this repository" >&2
  exit 2
fi

old=$(mktemp -d)
trap 'rm -rf "$old"' EXIT
mkdir "$old/source" "$old/bin"
git archive "$commit" | tar -x -C "$old/source"
(cd "$old/source" && GOPROXY=off go build -buildvcs=false -o "$old/bin/" ./cmd/dogwoodledged ./cmd/dogwoodledge)
echo "beside: the old build is that of $commit"
BESIDE_OLD="$old/bin" go test -tags beside -count=1 -timeout 10m -run TestBeside -v ./soak ./prove
