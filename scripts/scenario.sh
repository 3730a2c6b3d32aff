#!/usr/bin/env bash
# Runs one load scenario on a sample deployment and prints its tables.
# usage: scenario.sh SAMPLE EVENT RATE DURATION SEED [sample options]
# RATE is in requests per second, DURATION in seconds.
# EVENT: steady (none), dc (a data centre is taken out of service and put back), vm
# (vm2 is killed and restarted, then vm3 gets SIGTERM), leader (killed and
# restarted), crash (a fifth of the upstreams, one after the other).
# The environment variables BIN (directory of the programs) and PORT (first port)
# override the defaults.
set -euo pipefail
cd "$(dirname "$0")/.."
sample=$1 event=$2 rate=$3 duration=$4 seed=$5
shift 5
bin=${BIN:-bin} port=${PORT:-22000}
dir=$(mktemp -d)
declare -A pid
stop() {
  for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT

"$bin/mustardfake" sample --dir "$dir" --name "$sample" --port "$port" "$@" >/dev/null
"$bin/mustardfake" upstreams --file "$dir/fakes.json" --control "127.0.0.1:$((port + 199))" 2>"$dir/fakes.log" &
pid[fakes]=$!
disown
start() {
  "$bin/mustardpostd" serve --settings "$dir/$1.json" 2>>"$dir/$1.log" &
  pid[$1]=$!
  disown
}
vms=$(cd "$dir" && ls vm*.json | sed 's/.json//')
for vm in $vms; do start "$vm"; done
export MUSTARDPOST_ADDRESS=127.0.0.1:$((port + 1)) MUSTARDPOST_TOKEN=sample-operator-token
for _ in $(seq 1 100); do
  up=$("$bin/mustardpost" vm list 2>/dev/null | grep -c true || true)
  [ "$up" = "$(wc -w <<<"$vms")" ] && break
  sleep 0.2
done
"$bin/mustardpost" catalogue apply "$dir/catalogue.json" >/dev/null
# Warms up the upstreams, so that the measured run does not start with cold ones.
"$bin/mustardfake" load --file "$dir/load.json" --duration 6s --rate "$rate" --seed 99 >/dev/null || true

"$bin/mustardfake" load --file "$dir/load.json" --duration "${duration}s" --rate "$rate" --seed "$seed" --seconds >"$dir/out" &
load=$!
case $event in
steady) ;;
dc)
  dc=$("$bin/mustardpost" dc list | sed -n '2s/ .*//p')
  sleep 4; "$bin/mustardpost" dc out "$dc"
  sleep 6; "$bin/mustardpost" dc in "$dc"
  ;;
vm)
  sleep 4; kill -9 "${pid[vm2]}"
  sleep 3; start vm2
  sleep 3; kill -TERM "${pid[vm3]}"
  ;;
leader)
  sleep 5
  leader=$("$bin/mustardpost" status | awk '$2 == "true" && $1 ~ /^vm/ && NF == 5 {print $1}')
  kill -9 "${pid[$leader]}"
  sleep 3; start "$leader"
  ;;
crash)
  for u in $(grep -o '"name": "[a-z0-9-]*"' "$dir/fakes.json" | cut -d'"' -f4 | awk 'NR % 5 == 0'); do
    sleep 0.5
    curl -sS -X POST "http://127.0.0.1:$((port + 199))/crash/$u"
  done
  ;;
esac
wait "$load" || echo "load ended with $?"
cat "$dir/out"
"$bin/mustardfake" cost --dir "$dir"
