#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/rig3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-rig3 .
