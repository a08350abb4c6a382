# Functions that start and end a small local fleet of real processes with the
# stand-ins. Sourced by scripts/fleet.sh and scripts/demo.sh.
#
# FLEET_DIR holds settings, outputs and logs of the processes; PIDS their ids.

FLEET_DIR=${FLEET_DIR:-$(mktemp -d)}
BIN=$BUILD_DIR/apps/knapweedstile/knapweedstile
CTL=$BUILD_DIR/apps/knapctl/knapctl
STANDINS=$BUILD_DIR/tests/standins
PIDS=()

# start NAME COMMAND...: runs a process in the background; its output goes to
# FLEET_DIR/NAME.out and NAME.err.
start() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.err" &
  PIDS+=($!)
}

# wait_line NAME KEY: the value of KEY= in the first line NAME printed.
wait_line() {
  local name=$1 key=$2 i
  for i in $(seq 1 100); do
    if grep -q "$key=" "$FLEET_DIR/$name.out" 2>/dev/null; then
      grep -o "$key=[^ ]*" "$FLEET_DIR/$name.out" | head -n 1 | cut -d= -f2
      return 0
    fi
    sleep 0.05
  done
  echo "$name did not start; see $FLEET_DIR/$name.err" >&2
  cat "$FLEET_DIR/$name.err" >&2
  return 1
}

# put_vm NAME ADDRESS ZONE ROLE TARGET
put_vm() {
  curl -sS -o /dev/null -X PUT "http://$PLATFORM/v1/vms/$1" -d \
    "{\"name\":\"$1\",\"address\":\"$2\",\"availability_zone\":\"$3\",\"role\":\"$4\",\"target\":\"$5\",\"state\":\"live\"}"
}

# start_engine NAME ZONE: an engine stand-in and its sidecar.
start_engine() {
  local name=$1 zone=$2
  start "engine-$name" "$STANDINS/standin_engine" --listen 127.0.0.1:0 \
    --slots "$ENGINE_SLOTS" --token-ms "$ENGINE_TOKEN_MS" \
    --run-log "$FLEET_DIR/engine-$name.log"
  local engine
  engine=$(wait_line "engine-$name" address)
  sidecar_settings "$name" "$zone" model_engine "$MODEL" "$engine"
  start "$name" "$BIN" sidecar --config "$FLEET_DIR/$name.toml"
  put_vm "$name" "$(wait_line "$name" fleet)" "$zone" sidecar "$MODEL"
}

# start_service NAME ZONE
start_service() {
  local name=$1 zone=$2
  start "service-$name" "$STANDINS/standin_service" --listen 127.0.0.1:0 \
    --name "$SERVICE" --delay-ms 5 --run-log "$FLEET_DIR/service-$name.log"
  local service
  service=$(wait_line "service-$name" address)
  sidecar_settings "$name" "$zone" plain_service "$SERVICE" "$service"
  start "$name" "$BIN" sidecar --config "$FLEET_DIR/$name.toml"
  put_vm "$name" "$(wait_line "$name" fleet)" "$zone" sidecar "$SERVICE"
}

sidecar_settings() {
  cat >"$FLEET_DIR/$1.toml" <<TOML
[node]
name = "$1"
availability_zone = "$2"
drain_notice = 500
timeline_events = 65536
[backend_server]
kind = "$3"
target = "$4"
address = "$5"
[gate]
slots = $ENGINE_SLOTS
TOML
}

# start_entry NAME ZONE
start_entry() {
  local name=$1 zone=$2
  cat >"$FLEET_DIR/$name.toml" <<TOML
[node]
name = "$name"
availability_zone = "$zone"
drain_notice = 500
timeline_events = 65536
[platform]
addresses = ["$PLATFORM"]
vm_list_period = 300
[batch]
shards = 4
lease_term = 3000
flush_every = 300
poll_jobs_every = 500
TOML
  start "$name" "$BIN" entry --config "$FLEET_DIR/$name.toml"
  put_vm "$name" "$(wait_line "$name" fleet)" "$zone" entry ""
}

# A small fleet in Pfotenplatz's three availability zones.
start_fleet() {
  ENGINE_SLOTS=${ENGINE_SLOTS:-8}
  ENGINE_TOKEN_MS=${ENGINE_TOKEN_MS:-10}
  MODEL=hundehaus-llm
  SERVICE=empfang-app
  start platform "$STANDINS/standin_platform" --listen 127.0.0.1:0 --vm-lag-ms 200
  PLATFORM=$(wait_line platform address)
  start_engine engine-1 bern-a
  start_engine engine-2 bern-b
  start_engine engine-3 olten-c
  start_service service-1 bern-a
  start_entry entry-1 bern-a
  start_entry entry-2 bern-b
  ENTRIES=("$(wait_line entry-1 callers)" "$(wait_line entry-2 callers)")
  curl -sS -o /dev/null -X PUT \
    "http://$PLATFORM/v1/objects/service/$SERVICE?if_version=0" -d \
    '{"labels":{},"spec":{"path_prefix":"/empfang","idempotent":["PUT /empfang"]}}'
}

# wait_ready: until both entries see every backend server in.
wait_ready() {
  local entry
  for entry in "${ENTRIES[@]}"; do
    for _ in $(seq 1 200); do
      if curl -sS "http://$entry/v1/models" | grep -q "$MODEL"; then break; fi
      sleep 0.05
    done
  done
}

# Ends what was started here, by id: SIGTERM, a wait, then SIGKILL for the rest.
stop_fleet() {
  # Entries first, then sidecars, then what they need: newest first, each group
  # by id, as an operator would.
  local i
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
    end_process "${PIDS[i]}"
  done
  PIDS=()
}

# end_process PID: SIGTERM, up to 5 s, then SIGKILL.
end_process() {
  kill -TERM "$1" 2>/dev/null || return 0
  for _ in $(seq 1 100); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.05
  done
  echo "process $1 did not end; killed" >&2
  kill -KILL "$1" 2>/dev/null || true
}
