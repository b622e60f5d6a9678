#!/usr/bin/env bash
# A rater that leaves just after the machines that count were killed goes on getting requests. TROUBLE=0 leaves out the kill.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-probe -case leave -programs ../../target -record record.txt
