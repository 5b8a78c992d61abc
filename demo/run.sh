#!/usr/bin/env bash
# Runs the whole path on one machine as separate processes. While callers work,
# one target stalls, the log goes away, and one node and its targets are killed.
# Ends with what the callers saw; exit 0 only if nothing was lost or doubled.
set -euo pipefail
bin=${1:?usage: demo/run.sh PATH_OF_CUMINWHEEL [DIRECTORY_FOR_LOGS]}
logs=${2:-$(mktemp -d)}
base=${CUMINWHEEL_DEMO_PORT:-17000}
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$logs"
mkdir -p "$logs"
. "$here/fleet.sh"
trap stop_all EXIT

start_fleet
start_callers 16 0 1 2 3 4
sleep 2
echo "stalling one reparto target"
fault "$(target_of 1 4)" '{"stall":true}'
sleep 3
echo "the log goes away"
fault "$(log_address)" '{"outage":true}'
sleep 1
echo "killing node 5 and its targets"
killed=("${node_pids[5]}" "${target_pids[54]}" "${target_pids[55]}")
kill -KILL "${killed[@]}"
{ wait "${killed[@]}" || true; } 2>/dev/null # keeps the shell from reporting them
sleep 5
echo "the log comes back"
fault "$(log_address)" '{}'
sound=0
wait $caller || sound=1
cat "$logs/caller.txt" "$logs/caller-errors.txt"
"$bin" status --node "$(control_of 0)" | sed -n 1,13p
exit $sound
