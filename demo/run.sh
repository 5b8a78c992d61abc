#!/usr/bin/env bash
# Runs the whole path on one machine: the log stand-in, six nodes in three
# regions, targets of two services and callers. While the callers work, one
# target stalls, one node and its target are killed and the log goes away.
# Ends with what the callers saw; exit 0 only if nothing was lost or doubled.
set -euo pipefail
bin=${1:?usage: demo/run.sh PATH_OF_CUMINWHEEL [DIRECTORY_FOR_LOGS]}
logs=${2:-$(mktemp -d)}
base=${CUMINWHEEL_DEMO_PORT:-17000}
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$logs"
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 0.5
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

log=127.0.0.1:$((base + 900))
regions=(bajio bajio norte norte golfo golfo)
entries=() audits=() node_pids=() target_pids=()

"$bin" standin log --listen "$log" >"$logs/log.txt" 2>&1 &
pids+=($!)
peers=()
for i in 0 1 2 3 4 5; do
  p=$((base + i * 10))
  "$bin" node --entry 127.0.0.1:$p --gate 127.0.0.1:$((p + 1)) --control 127.0.0.1:$((p + 2)) \
    --admin 127.0.0.1:$((p + 3)) --region "${regions[$i]}" --data-centre "${regions[$i]}-$((i % 2))" --clock-bound 50ms \
    --log "$log" "${peers[@]}" >"$logs/node$i.txt" 2>&1 &
  pids+=($!) node_pids+=($!)
  peers+=(--peer 127.0.0.1:$((p + 2)))
  entries+=(--entry 127.0.0.1:$p)
done
for i in 0 1 2 3 4 5; do
  p=$((base + i * 10))
  for service in reparto liquorlog; do
    [ $service = reparto ] && t=$((p + 4)) || t=$((p + 5))
    "$bin" standin target --listen 127.0.0.1:$t --admin 127.0.0.1:$((p + 3)) --service $service --ran-file "$logs/ran$i-$service" \
      >"$logs/target$i-$service.txt" 2>&1 &
    pids+=($!) target_pids+=($!)
    audits+=(--audit-file "$logs/ran$i-$service")
  done
done
node=127.0.0.1:$((base + 2))
for _ in $(seq 100); do
  [ "$("$bin" status --node "$node" 2>/dev/null | grep -c ' alive ')" = 6 ] && break
  sleep 0.2
done
for _ in $(seq 50); do
  "$bin" publish --node "$node" --log "$log" --author demo --wait 5s "$here/cooperatives.json" >"$logs/publish.txt" 2>&1 && break
  sleep 0.2
done
cat "$logs/publish.txt"
sleep 6 # Claim seats get their holders and leases.

"$bin" standin caller "${entries[@]:0:10}" --path /reparto/turnos --path /liquorlog/readings \
  --claim-path /reparto/turnos/claims --claim-path /liquorlog/signoffs \
  --rate 150 --duration 18s "${audits[@]}" >"$logs/caller.txt" 2>"$logs/caller-errors.txt" &
caller=$!
sleep 3
echo "stalling one reparto target"
"$bin" standin fault 127.0.0.1:$((base + 14)) '{"stall":true}'
sleep 3
echo "the log goes away"
"$bin" standin fault "$log" '{"outage":true}'
sleep 2
echo "killing node 5 and its targets"
kill -KILL "${node_pids[5]}" "${target_pids[10]}" "${target_pids[11]}"
sleep 5
echo "the log comes back"
"$bin" standin fault "$log" '{}'
sound=0
wait $caller || sound=1
cat "$logs/caller.txt" "$logs/caller-errors.txt"
"$bin" status --node "$node" | sed -n 1,13p
exit $sound
