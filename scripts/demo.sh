#!/usr/bin/env bash
# Starts a small local deployment, runs online traffic beside batch jobs,
# relabels the engines from one serving policy to another, and prints
# a comparison. Finishes in under two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
. scripts/fleet_lib.sh
trap stop_fleet EXIT
TIMELINE=${TIMELINE:-demo.trace.json}

echo "starting: a simulated platform with three engines and a plain service, two gateways"
start_fleet
wait_ready

engine_object() {
  local address
  address=$(grep "server=$1 " "$FLEET_DIR/site.out" | grep -o 'address=[^ ]*' | cut -d= -f2)
  echo "{\"kind\": \"engine\", \"name\": \"$1\", \"labels\": {\"serving\": \"static\"}," \
    "\"spec\": {\"vm\": \"$address\", \"model\": \"hundehaus-llm\"}}"
}
cat >"$FLEET_DIR/objects.json" <<JSON
[{"kind": "policy", "name": "static", "spec": {"priority": 10,
  "engines": {"match": {"serving": "static"}},
  "sharing": "static_share", "batch_share": 0.25}},
 {"kind": "policy", "name": "cancel", "spec": {"priority": 10,
  "engines": {"match": {"serving": "cancel"}},
  "sharing": "priority_cancel"}},
 $(engine_object engine-1), $(engine_object engine-2), $(engine_object engine-3)]
JSON
"$CTL" apply -f "$FLEET_DIR/objects.json"

echo "comparing: online traffic without batch, then beside batch jobs while the"
echo "engines are relabelled between the policies static and cancel (about a minute)"
"$CTL" compare --first static --second cancel --model hundehaus-llm \
  --rate "${DEMO_RATE:-40}" --stream-share 1 --service-share 0.1 \
  --service-path /empfang/nights \
  --baseline-seconds 10 --blocks 10 --block-seconds 6 --settle-ms 1000 \
  --batch-items 8000 --batch-tokens 32
"$CTL" status | head -8
"$CTL" timeline --chrome "$TIMELINE" | head -1
echo "open $TIMELINE in Perfetto; knapctl timeline --request ID prints one request"
