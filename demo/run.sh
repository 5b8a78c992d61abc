#!/usr/bin/env bash
# Runs a fleet on one machine as separate processes: a stand-in for the platform's
# store, eight nodes in two regions and a stand-in target beside each node. While
# callers send requests, one target stalls, another resets connections, the store
# becomes unavailable, one node and its target are killed, and another node is
# restarted during the outage. Prints the callers' report at the end, and exits with
# 0 only if no request was lost, doubled or otherwise handled wrongly.
set -euo pipefail
bin=${1:?usage: demo/run.sh PATH_OF_CUMINWHEEL [DIRECTORY_FOR_LOGS]}
logs=${2:-$(mktemp -d)}
base=${CUMINWHEEL_DEMO_PORT:-17000}
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$logs"
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

store=127.0.0.1:$((base + 900))
regions=(bajio bajio bajio bajio norte norte norte norte)
services=(tablero reparto tablero reparto tablero reparto tablero reparto)
# address NODE PORT: the address of the node's listener number PORT, 0 to 6.
address() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }
node_pids=() target_pids=()

# start_node NODE: the data centre comes from i, which the caller sets to NODE.
start_node() {
  "$bin" node --entry "$(address "$1" 0)" --gate "$(address "$1" 1)" --control "$(address "$1" 2)" \
    --admin "$(address "$1" 3)" --ready "$(address "$1" 4)" --metrics "$(address "$1" 5)" \
    --target "$(address "$1" 6)" --service "${services[$1]}" --region "${regions[$1]}" \
    --data-centre "${regions[$1]}-$((i / 2 % 2))" --store "$store" --grace 6s --announcement-interval 500ms >>"$logs/node$1.txt" 2>&1 &
  node_pids[$1]=$!
  pids+=($!)
}
# start_target NODE
start_target() {
  "$bin" standin target --listen "$(address "$1" 6)" --admin "$(address "$1" 3)" --service "${services[$1]}" \
    --ran-file "$logs/ran$1" >>"$logs/target$1.txt" 2>&1 &
  target_pids[$1]=$!
  pids+=($!)
}
# fault ADDRESS JSON: sets the faults of a running stand-in.
fault() { "$bin" standin fault "$1" "$2"; }

"$bin" standin store --listen "$store" >"$logs/store.txt" 2>&1 &
pids+=($!)
for i in 0 1 2 3 4 5 6 7; do start_node $i; start_target $i; done
"$bin" publish --store "$store" --patience 10s "$here/bajio.json"
for i in 0 1 2 3 4 5 6 7; do
  for _ in $(seq 50); do
    "$bin" status --metrics "$(address $i 5)" 2>/dev/null | grep -q '"ready":true.*"nodes":8,"gate_open":true' && break
    sleep 0.2
  done
done

args=()
for i in 0 1 2 3 4 5 6; do args+=(--entry "$(address $i 0)"); done
for i in 0 1 2 3 4 5 6 7; do args+=(--audit-file "$logs/ran$i"); done
"$bin" standin caller "${args[@]}" --path /board/today --path /check/slot --claim-path /claims/new --rate 100 \
  --duration 12s >"$logs/caller.txt" 2>"$logs/caller-errors.txt" &
caller=$!
sleep 2
echo "one target of tablero stalls, one of reparto resets connections"
fault "$(address 0 6)" '{"stall":true}'
fault "$(address 1 6)" '{"reset_share":0.85}'
sleep 3
echo "the store becomes unavailable"
fault "$store" '{"outage":true}'
sleep 1
echo "node 7 and its target are killed"
killed=("${node_pids[7]}" "${target_pids[7]}")
kill -KILL "${killed[@]}"
{ wait "${killed[@]}" || true; } 2>/dev/null # keeps the shell from printing that they were killed
sleep 1
echo "node 6 gets SIGTERM and is restarted while the store is unavailable"
kill -TERM "${node_pids[6]}"
{ wait "${node_pids[6]}" || true; } 2>/dev/null
i=6
start_node 6
sleep 2
"$bin" status --metrics "$(address 6 5)"
echo "the store is available again"
fault "$store" '{}'
status=0
wait $caller || status=1
cat "$logs/caller.txt" "$logs/caller-errors.txt"
exit $status
