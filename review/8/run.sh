#!/bin/sh
# Plays the case and writes record.txt beside this file; see claim.txt.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand-ins ] && [ -x target/release/catkinusher-node ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/stand-ins roll review/8
