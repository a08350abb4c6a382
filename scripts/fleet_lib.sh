# Functions that start and stop a small local deployment: a simulation of the
# users' platform with its backend servers, and gateways configured as on their
# VMs. Sourced by scripts/fleet.sh and scripts/demo.sh.
#
# FLEET_DIR holds the processes' settings and output; PIDS holds their ids.

FLEET_DIR=${FLEET_DIR:-$(mktemp -d)}
BIN=$BUILD_DIR/apps/knapweedstile/knapweedstile
CTL=$BUILD_DIR/apps/knapctl/knapctl
SITE=$BUILD_DIR/tests/users_platform/standin_site
HOST_NAME=pets.example
PIDS=()

# start NAME COMMAND...: runs a process in the background and redirects its
# output to FLEET_DIR/NAME.out and NAME.err.
start() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.err" &
  PIDS+=($!)
}

# wait_line NAME KEY: waits for the first output line of NAME that holds KEY= and
# prints its value; fails after 100 polls (5 s).
wait_line() {
  local name=$1 key=$2
  for _ in $(seq 1 100); do
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

# start_gateway NAME ZONE NUMBER: starts a gateway that listens on three ports
# from PORT_BASE + 3 * NUMBER.
start_gateway() {
  local name=$1 zone=$2 port=$((PORT_BASE + 3 * $3))
  cat >"$FLEET_DIR/$name.toml" <<TOML
[node]
name = "$name"
ip = "127.0.0.1"
availability_zone = "$zone"
[listen]
callers = "127.0.0.1:$port"
readiness = "127.0.0.1:$((port + 1))"
peer_port = $((port + 2))
[store]
address = "$STORE"
[timeline]
events = 65536
TOML
  start "$name" "$BIN" gateway --config "$FLEET_DIR/$name.toml"
  ENTRIES+=("127.0.0.1:$port")
  ADMINS+=("127.0.0.1:$((port + 1))")
}

start_fleet() {
  PORT_BASE=${PORT_BASE:-18000}
  ENTRIES=() ADMINS=()
  start site "$SITE" --servers 3 --slots "${ENGINE_SLOTS:-8}" \
    --token-ms "${ENGINE_TOKEN_MS:-10}" --host "$HOST_NAME"
  STORE=$(wait_line site store)
  start_gateway gateway-1 bern-a 0
  start_gateway gateway-2 bern-b 1
  KNAP_PLATFORM=${ADMINS[0]}
  KNAP_ENTRIES=$(IFS=,; echo "${ENTRIES[*]}")
  KNAP_ADMINS=$(IFS=,; echo "${ADMINS[*]}")
  KNAP_HOST=$HOST_NAME
  export KNAP_PLATFORM KNAP_ENTRIES KNAP_ADMINS KNAP_HOST
}

# wait_ready: waits until all gateways report readiness, for up to 200 polls
# (10 s) each.
wait_ready() {
  local admin
  for admin in "${ADMINS[@]}"; do
    for _ in $(seq 1 200); do
      if curl -sSf -o /dev/null "http://$admin/readyz" 2>/dev/null; then break; fi
      sleep 0.05
    done
  done
}

# Stops the processes started here, by id, in reverse order of their start:
# gateways before the platform that they depend on.
stop_fleet() {
  local i
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
    end_process "${PIDS[i]}"
  done
  PIDS=()
}

# end_process PID: sends SIGTERM, waits up to 5 s, then sends SIGKILL.
end_process() {
  kill -TERM "$1" 2>/dev/null || return 0
  for _ in $(seq 1 100); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.05
  done
  echo "process $1 did not exit within 5 s; sending SIGKILL" >&2
  kill -KILL "$1" 2>/dev/null || true
}
