#!/usr/bin/env bash
# Starts three VMs, all voters, with fake upstreams and measures how the cost of the
# control plane grows with size and load: the slopes from which docs/CAPACITY.md is
# computed. If HEAP is set, it also writes a heap profile of the first VM to that file.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT
port=24000
bin/mustardfake sample --dir "$dir" --name demo --port $port >/dev/null
for vm in vm1 vm2 vm3; do
  bin/mustardpostd serve --settings "$dir/$vm.json" 2>"$dir/$vm.log" &
  pids+=($!)
  disown
done
vms=("${pids[@]}")
bin/mustardfake upstreams --file "$dir/fakes.json" --control 127.0.0.1:$((port + 199)) 2>"$dir/fakes.log" &
pids+=($!)
disown
export MUSTARDPOST_ADDRESS=127.0.0.1:$((port + 1)) MUSTARDPOST_TOKEN=sample-operator-token
for _ in $(seq 1 100); do
  [ "$(bin/mustardpost vm list 2>/dev/null | grep -c true || true)" = 3 ] && break
  sleep 0.2
done
bin/mustardpost catalogue apply "$dir/catalogue.json"
bin/mustardfake slopes --dir "$dir" --pid "${vms[0]}" --pid "${vms[1]}" --pid "${vms[2]}" "$@"
if [ -n "${HEAP:-}" ]; then
  curl -sS -H "Authorization: Bearer $MUSTARDPOST_TOKEN" "http://$MUSTARDPOST_ADDRESS/debug/pprof/heap" -o "$HEAP"
fi
