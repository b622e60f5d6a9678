#!/usr/bin/env bash
# A resumed stream whose second rater fails. 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin resume review/1/record.txt
