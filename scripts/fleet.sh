#!/usr/bin/env bash
# Starts a small local fleet and keeps it in the foreground until SIGTERM or
# SIGINT. Prints one key=value line an address.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
. scripts/fleet_lib.sh
trap 'stop_fleet; exit 0' TERM INT
trap stop_fleet EXIT
start_fleet
wait_ready
echo "platform=$PLATFORM"
for i in 1 2; do
  echo "entry=$(wait_line entry-$i callers) admin=$(wait_line entry-$i admin)"
done
for i in engine-1 engine-2 engine-3 service-1; do
  echo "sidecar=$i fleet=$(wait_line $i fleet) admin=$(wait_line $i admin)"
done
echo "folder=$FLEET_DIR"
while :; do sleep 1 & wait $!; done
