#!/usr/bin/env bash
# Entry point for developers and CI; README.md describes the commands.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
. scripts/lib.sh

case "${1:-help}" in
  deps) install_packages ;;
  build) ensure_packages; build "${2:-all}" ;;
  format) clang-format -i $(own_sources) ;;
  lint) ensure_packages; configure; check_format; check_lint ;;
  unit) ensure_packages; build all; run_ctest -LE integration ;;
  test) ensure_packages; configure; check_format; build all; run_ctest; check_lint ;;
  demo) ensure_packages; build all; exec scripts/demo.sh ;;
  soak) ensure_packages; build knap_soak; shift; exec scripts/soak.sh "$@" ;;
  ablate) shift; exec scripts/ablate.py "$@" ;;
  fleet) ensure_packages; build all; exec scripts/fleet.sh ;;
  *)
    cat <<'USAGE'
usage: ./build.sh COMMAND
  deps    install the declared Debian packages
  build   build everything (or one target) into build/
  format  rewrite the sources in the project's format
  lint    check format and run the linter
  unit    build and run the tests that start no processes
  test    everything CI checks: format, build, all tests, lint
  demo    start a local fleet, compare two serving policies, print the result
  soak    inject random faults into real gateways: --seeds A..B [--minutes M]
          [--size small|few-dozen|limit] [--at-once N]
  ablate  NAME FOLDER: copy the sources with one policy mechanism disabled
  fleet   start a local fleet and run it in the foreground until a signal
USAGE
    [ "${1:-help}" = help ] || exit 2
    ;;
esac
