#!/usr/bin/env bash
# Runs three VMs in two data centres with fake upstreams, sends one request, takes a
# data centre out of service and back under load, and prints the attainment. It fails
# if a step fails or the attainment is below 99 %, and stops the processes it started.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT

bin/mustardfake sample --dir "$dir" --name demo --port 21000
bin/mustardfake upstreams --file "$dir/fakes.json" --control 127.0.0.1:21199 2>"$dir/fakes.log" &
pids+=($!); disown
for vm in vm1 vm2 vm3; do
  bin/mustardpostd serve --settings "$dir/$vm.json" 2>"$dir/$vm.log" &
  pids+=($!); disown
done

export MUSTARDPOST_ADDRESS=127.0.0.1:21001 MUSTARDPOST_TOKEN=sample-operator-token
for try in $(seq 1 100); do
  up=$(bin/mustardpost vm list 2>/dev/null | grep -c true || true)
  [ "$up" = 3 ] && break
  if [ "$try" = 100 ]; then
    echo "not all 3 VMs were up after 100 polls; last lines of the logs:" >&2
    tail -n 5 "$dir"/*.log >&2
    exit 1
  fi
  sleep 0.2
done

echo "== the operator applies the catalogue"
bin/mustardpost catalogue apply "$dir/catalogue.json"
echo "== one request, streamed"
answer=$(curl -sS --max-time 10 -H "Authorization: Bearer key-of-account-1" \
  -d '{"input":"may a captain refuse a challenge? #00000000000000aa","stream":true,"max":4}' \
  http://127.0.0.1:21000/v1/entries/rules)
echo "$answer"
grep -q '"outcome":"answered"' <<<"$answer"

echo "== load, while a data centre goes out and comes back"
bin/mustardfake load --file "$dir/load.json" --duration 20s --seed 7 --least 99 >"$dir/load.out" &
load=$!
sleep 5
bin/mustardpost dc out south
sleep 7
bin/mustardpost dc in south
status=0
wait "$load" || status=$?
cat "$dir/load.out"
bin/mustardpost status
bin/mustardpost audit --limit 8
[ "$status" = 0 ] || { echo "the demo fell short"; exit 1; }
echo "the demo passed"
