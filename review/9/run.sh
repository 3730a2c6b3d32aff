#!/bin/bash
# Clients send requests whose path begins with two slashes. Exits with 1 if rule UNASKED is broken.
# TROUBLE=0: the path begins with one. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardpost-platform ] && [ -x target/review-lab ] || exit 2
exec target/review-lab path review/9
