#!/usr/bin/env bash
# Builds the stand-ins of the cases. The nodes are built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review-standin .
