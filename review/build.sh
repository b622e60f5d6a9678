#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin ./review/standin
