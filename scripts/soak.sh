#!/usr/bin/env bash
# Runs the fault soak over a range of seeds, or with new seeds for a number of
# minutes. Prints where the output of each failed seed is kept.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

BUILD_DIR=${BUILD_DIR:-build}
seeds="" minutes="" size=small at_once=4
while [ $# -gt 0 ]; do
  case "$1" in
    --seeds) seeds=$2 ;;
    --minutes) minutes=$2 ;;
    --size) size=$2 ;;
    --at-once) at_once=$2 ;;
    *) echo "unknown option: $1; see ./build.sh help" >&2; exit 2 ;;
  esac
  shift 2
done

# New seeds count up from the current time, so that runs do not repeat seeds.
if [ -n "$seeds" ]; then
  first=${seeds%%..*} last=${seeds##*..} end=""
else
  first=$(date +%s) last=$((first + 10000)) end=$((first + 60 * ${minutes:-1}))
fi

out="$BUILD_DIR/soak"
mkdir -p "$out"
export BUILD_DIR size out end
run_one() {
  if [ -n "$end" ] && [ "$(date +%s)" -ge "$end" ]; then return 0; fi
  if "$BUILD_DIR/tests/soak/knap_soak" --seed "$1" --size "$size" >"$out/$1.txt" 2>&1; then
    echo "seed $1 passed"
  else
    echo "seed $1 FAILED: $out/$1.txt"
    grep -h '^BROKEN' "$out/$1.txt" | head -3
    return 1
  fi
}
export -f run_one
# A failed seed does not stop the others; the script then exits nonzero.
seq "$first" "$last" | xargs -P "$at_once" -I{} bash -c 'run_one {}'
