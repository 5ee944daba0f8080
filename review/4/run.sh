#!/usr/bin/env bash
# Runs the case; `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/catkinusher-node ] || exit 2
exec target/review/harness deep review/4
