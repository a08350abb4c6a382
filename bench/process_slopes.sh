#!/usr/bin/env bash
# Processor time and memory of the real processes for each request and token:
# runs the local fleet at three rates and reads /proc. Prints a table.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
ENGINE_SLOTS=${ENGINE_SLOTS:-64}
ENGINE_TOKEN_MS=${ENGINE_TOKEN_MS:-5}
. scripts/fleet_lib.sh
trap stop_fleet EXIT
SECONDS_EACH=${SECONDS_EACH:-8}

# pid_of NAME: the process whose settings are NAME.toml.
pid_of() { pgrep -f "$FLEET_DIR/$1.toml" | head -n 1; }
# ticks PID: user and system time, in hundredths of a second.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

start_fleet
wait_ready
entry=$(pid_of entry-1)
sidecar=$(pid_of engine-1)
sleep 5
printf '%-8s %-8s %-8s %-22s %-22s %-12s %-12s\n' rate calls tokens \
  'entry-1 cpu s (rss KB)' 'engine-1 cpu s (rss KB)' 'TTFT p50 ms' 'p99 ms'
for rate in 0 50 200 400; do
  before_entry=$(ticks "$entry") before_sidecar=$(ticks "$sidecar")
  if [ "$rate" = 0 ]; then
    sleep "$SECONDS_EACH"
    line='calls=0 tokens=0'
    first='- - - - -'
  else
    output=$("$CTL" load --entry "${ENTRIES[0]}" --model "$MODEL" --rate "$rate" \
      --seconds "$SECONDS_EACH" --long-share 0 --stream-share 1)
    line=$(head -n 1 <<<"$output")
    first=$(grep '^first token' <<<"$output")
  fi
  calls=$(grep -o 'calls=[0-9]*' <<<"$line" | cut -d= -f2)
  tokens=$(grep -o 'tokens=[0-9]*' <<<"$line" | cut -d= -f2)
  entry_s=$(awk -v a="$before_entry" -v b="$(ticks "$entry")" 'BEGIN {printf "%.2f", (b - a) / 100}')
  sidecar_s=$(awk -v a="$before_sidecar" -v b="$(ticks "$sidecar")" 'BEGIN {printf "%.2f", (b - a) / 100}')
  printf '%-8s %-8s %-8s %-22s %-22s %-12s %-12s\n' "$rate" "$calls" "$tokens" \
    "$entry_s ($(rss_kb "$entry"))" "$sidecar_s ($(rss_kb "$sidecar"))" \
    "$(awk '{print $3}' <<<"$first")" "$(awk '{print $5}' <<<"$first")"
done
