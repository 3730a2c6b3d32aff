#!/bin/bash
# Builds the stand-ins that the cases start. Needs no network.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
