#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, beside the fleet's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-probe ./review/probe
