#!/bin/bash
# Builds the stand-ins that the cases start. Needs no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../target/review-standin .
