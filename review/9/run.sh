#!/bin/bash
# The configuration adds a route with a stage that another one reads. Exits with 1 if rule CONFIG is broken.
# TROUBLE=0: the results of that stage are small. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardpost-platform ] && [ -x target/review-lab ] || exit 2
exec target/review-lab chain review/9
