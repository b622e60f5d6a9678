#!/usr/bin/env bash
# The last tenant is removed and its key goes on to work. 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin revoke review/3/record.txt
