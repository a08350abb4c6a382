#!/usr/bin/env bash
# Starts a small local deployment and runs it in the foreground until SIGTERM
# or SIGINT. Prints the addresses as key=value lines.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
. scripts/fleet_lib.sh
trap 'stop_fleet; exit 0' TERM INT
trap stop_fleet EXIT
start_fleet
wait_ready
echo "export KNAP_PLATFORM=$KNAP_PLATFORM KNAP_ENTRIES=$KNAP_ENTRIES"
echo "export KNAP_ADMINS=$KNAP_ADMINS KNAP_HOST=$KNAP_HOST"
echo "store=$STORE folder=$FLEET_DIR"
while :; do sleep 1 & wait $!; done
