#!/bin/bash
# Two operators send configurations of one version at the same time. Exits with 1 if rule CONFIG is broken.
# TROUBLE=0: only one of them does. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardpost-platform ] && [ -x target/review-lab ] || exit 2
exec target/review-lab race review/6
