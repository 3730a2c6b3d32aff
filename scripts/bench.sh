#!/usr/bin/env bash
# Compares the policies with the baseline on the sample deployments, both runs of a
# pair with the same seed. The environment variables SEED and SECONDS_EACH (seconds
# per run) override the defaults.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${SEED:-5} each=${SECONDS_EACH:-12}
filter_summary() { grep -E "^ +sent|^all|^account|seed|^cost|load ended|breach"; }
run() {
  local title=$1 sample=$2 event=$3 rate=$4
  shift 4
  for policy in --baseline ""; do
    echo "== $title: $sample, $event, $rate/s, ${policy:-ours}"
    scripts/scenario.sh "$sample" "$event" "$rate" "$each" "$seed" "$@" $policy 2>&1 | filter_summary
  done
}
run "today's load" austro steady 80
run "near capacity" prairies steady 250 --slow 4
run "twice the capacity" prairies steady 500 --slow 4
run "stragglers" prairies steady 120 --spread 0.02
run "a fifth of the upstreams fails half of its answers" prairies steady 120 --errors 0.5
run "a data centre leaves and returns" prairies dc 120
run "a VM is lost, another restarts" prairies vm 120
run "the leader is lost" prairies leader 120
