# Functions that start a fleet of separate processes on loopback: the log
# stand-in, six nodes in three regions and two targets beside each. Sourced by
# demo/run.sh and chaos/run.sh, which set bin, logs and base.

pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  sleep 0.5
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}

log_address() { echo "127.0.0.1:$((base + 900))"; }
entry_of() { echo "127.0.0.1:$((base + $1 * 10))"; }
control_of() { echo "127.0.0.1:$((base + $1 * 10 + 2))"; }
target_of() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; } # 4 is reparto, 5 liquorlog

regions=(bajio bajio norte norte golfo golfo)
node_pids=() target_pids=()

start_log() {
  "$bin" standin log --listen "$(log_address)" "$@" >"$logs/log.txt" 2>&1 &
  pids+=($!)
}

# start_node INDEX: every other node is a peer to start from.
start_node() {
  local i=$1 p=$((base + $1 * 10)) peers=() k
  for k in 0 1 2 3 4 5; do [ "$k" = "$i" ] || peers+=(--peer "$(control_of "$k")"); done
  "$bin" node --entry 127.0.0.1:$p --gate 127.0.0.1:$((p + 1)) --control 127.0.0.1:$((p + 2)) \
    --admin 127.0.0.1:$((p + 3)) --region "${regions[$i]}" --data-centre "${regions[$i]}-$((i % 2))" \
    --clock-bound 50ms --log "$(log_address)" "${peers[@]}" >>"$logs/node$i.txt" 2>&1 &
  node_pids[i]=$!
  pids+=($!)
}

# start_target NODE KIND SERVICE
start_target() {
  "$bin" standin target --listen "$(target_of "$1" "$2")" --admin 127.0.0.1:$((base + $1 * 10 + 3)) --service "$3" \
    --ran-file "$logs/ran$1-$3" >>"$logs/target$1-$3.txt" 2>&1 &
  target_pids[$1 * 10 + $2]=$!
  pids+=($!)
}

# start_fleet: returns when all nodes know each other, the configuration is in
# force and claim seats have had the time to be leased.
start_fleet() {
  local i
  start_log "$@"
  for i in 0 1 2 3 4 5; do start_node $i; done
  for i in 0 1 2 3 4 5; do start_target $i 4 reparto; start_target $i 5 liquorlog; done
  for _ in $(seq 100); do
    [ "$("$bin" status --node "$(control_of 0)" 2>/dev/null | grep -c ' alive ')" = 6 ] && break
    sleep 0.2
  done
  "$bin" publish --node "$(control_of 0)" --log "$(log_address)" --author demo --patience 10s --wait 10s \
    "$here/../demo/cooperatives.json"
  sleep 6
}

# start_callers SECONDS ENTRIES... : sends load in the background; wait for
# $caller and read $logs/caller.*.
start_callers() {
  local seconds=$1 args=() i
  shift
  for i in "$@"; do args+=(--entry "$(entry_of "$i")"); done
  for i in 0 1 2 3 4 5; do args+=(--audit-file "$logs/ran$i-reparto" --audit-file "$logs/ran$i-liquorlog"); done
  "$bin" standin caller "${args[@]}" --path /reparto/turnos --path /liquorlog/readings \
    --claim-path /reparto/turnos/claims --claim-path /liquorlog/signoffs --seed "${seed:-1}" \
    --rate 150 --duration "${seconds}s" --output "${output:-table}" >"$logs/caller.txt" 2>"$logs/caller-errors.txt" &
  caller=$!
}

fault() { "$bin" standin fault "$1" "$2"; }
