#!/usr/bin/env bash
# Starts a small local fleet, runs online traffic beside a batch job, relabels
# the engines from one serving policy to another while it runs, and prints a
# comparison. Ends by itself in under two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
. scripts/fleet_lib.sh
trap stop_fleet EXIT
TIMELINE=${TIMELINE:-demo.trace.json}

echo "starting: the platform, three engines and a plain service with sidecars, two entries"
start_fleet
wait_ready
export KNAP_PLATFORM=$PLATFORM
KNAP_ENTRIES=$(IFS=,; echo "${ENTRIES[*]}")
KNAP_ADMINS=$(for n in entry-1 entry-2 engine-1 engine-2 engine-3 service-1; do
  wait_line $n admin; done | paste -sd,)
export KNAP_ENTRIES KNAP_ADMINS

cat >"$FLEET_DIR/objects.json" <<'JSON'
[{"kind": "policy", "name": "static", "spec": {"priority": 10,
  "engines": {"match": {"serving": "static"}},
  "sharing": "static_share", "batch_share": 0.25}},
 {"kind": "policy", "name": "cancel", "spec": {"priority": 10,
  "engines": {"match": {"serving": "cancel"}},
  "sharing": "priority_cancel"}},
 {"kind": "engine", "name": "engine-1", "labels": {"serving": "static"},
  "spec": {"vm": "engine-1", "model": "hundehaus-llm"}},
 {"kind": "engine", "name": "engine-2", "labels": {"serving": "static"},
  "spec": {"vm": "engine-2", "model": "hundehaus-llm"}},
 {"kind": "engine", "name": "engine-3", "labels": {"serving": "static"},
  "spec": {"vm": "engine-3", "model": "hundehaus-llm"}}]
JSON
"$CTL" apply -f "$FLEET_DIR/objects.json"

echo "comparing: online traffic without batch, then beside a batch job while the"
echo "engines are relabelled between the policies static and cancel (about a minute)"
"$CTL" compare --first static --second cancel --model hundehaus-llm \
  --rate "${DEMO_RATE:-40}" --service-share 0.1 --service-path /empfang/nights \
  --baseline-seconds 10 --blocks 10 --block-seconds 6 --settle-ms 1000 \
  --batch-items 20000 --batch-tokens 32
"$CTL" status | head -8
"$CTL" timeline --chrome "$TIMELINE" | head -1
echo "open $TIMELINE in Perfetto; knapctl timeline --request ID prints one request"
