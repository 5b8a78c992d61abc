#!/usr/bin/env bash
# Drives a fleet of separate processes through one fault after another, each
# with a fleet of its own, and prints a row of what callers saw for each. Exit 0
# only if no row shows a broken promise.
set -euo pipefail
bin=${1:?usage: chaos/run.sh PATH_OF_CUMINWHEEL [FAULT ...]}
shift
root=$(mktemp -d)
base=${CUMINWHEEL_CHAOS_PORT:-27000}
here=$(cd "$(dirname "$0")" && pwd)
seed=${SEED:-1}
output=json
. "$here/../demo/fleet.sh"
trap stop_all EXIT
all=(none kill freeze stall slow fail flap truncate cross log_slow log_outage lost_answers racing_operators rolling kill_in_outage)
[ $# -gt 0 ] && all=("$@")
failed=0

# The faults. Each runs while callers work for 16 s at the entries 0 to 4.
kill_fault() { kill -KILL "${node_pids[5]}" "${target_pids[54]}" "${target_pids[55]}"; }
freeze_fault() { kill -STOP "${node_pids[5]}"; sleep 6; kill -CONT "${node_pids[5]}"; }
stall_fault() { fault "$(target_of 1 4)" '{"stall":true}'; }
slow_fault() { fault "$(target_of 1 4)" '{"slow_factor":10}'; }
fail_fault() { fault "$(target_of 1 4)" '{"fail_share":0.5}'; }
log_slow_fault() { fault "$(log_address)" '{"delay_ms":1500}'; kill_fault; }
flap_fault() { fault "$(target_of 1 4)" '{"stall":true,"flap_sick_ms":2000,"flap_well_ms":2000}'; }
truncate_fault() { fault "$(target_of 1 4)" '{"truncate":true}'; }
cross_fault() { fault "$(target_of 1 4)" '{"cross":true}'; }
log_outage_fault() { fault "$(log_address)" '{"outage":true}'; }
lost_answers_fault() { fault "$(log_address)" '{"lose_answers":20}'; kill_fault; }
kill_in_outage_fault() { log_outage_fault; sleep 1; kill_fault; sleep 6; fault "$(log_address)" '{}'; }
racing_operators_fault() {
  local k ops=()
  for k in 1 2 3 4; do
    sed "s/\"floor_slots\": 4/\"floor_slots\": $k/" "$here/../demo/cooperatives.json" >"$logs/op$k.json"
    "$bin" publish --node "$(control_of "$k")" --log "$(log_address)" --author "op$k" --base 1 "$logs/op$k.json" \
      >>"$logs/publish.txt" 2>&1 &
    ops+=($!)
  done
  wait "${ops[@]}" || true
  [ "$(grep -c '^published' "$logs/publish.txt")" = 1 ] || { echo "not exactly one operator won"; return 1; }
}
rolling_fault() {
  local i
  for i in 5 4 3 2 1; do
    kill -TERM "${node_pids[$i]}"
    wait "${node_pids[$i]}" || { echo "node $i did not leave with exit code 0"; return 1; }
    start_node $i
    sleep 3
  done
}

printf '%-18s %6s %8s %8s %8s %8s %8s %8s %6s %6s %8s\n' \
  fault sent answered not_run unknown no_resp foreign claims doubled lost false_nr
for name in "${all[@]}"; do
  logs=$root/$name
  mkdir -p "$logs"
  start_fleet >"$logs/start.txt"
  seconds=16 entries=(0 1 2 3 4)
  # Callers use an entry that stays while the others are replaced.
  [ "$name" = rolling ] && seconds=48 && entries=(0)
  start_callers $seconds "${entries[@]}"
  sleep 3
  sound=0
  if [ "$name" != none ]; then "${name}_fault" || sound=1; fi
  wait $caller || sound=1
  row=$(tr -d '\n' <"$logs/caller.txt")
  field() { sed -nE "s/.*\"$1\":([0-9]+).*/\1/p" <<<"$row"; }
  printf '%-18s %6s %8s %8s %8s %8s %8s %8s %6s %6s %8s' "$name" "$(field sent)" "$(field answered)" "$(field not_run)" \
    "$(field unknown)" "$(field no_response)" "$(field foreign)" "$(field claims)" "$(field doubled)" "$(field lost)" "$(field false_not_run)"
  [ $sound = 0 ] && echo || { echo "  BROKEN, see $logs"; failed=1; }
  stop_all 2>/dev/null
done
echo "seed $seed"
exit $failed
