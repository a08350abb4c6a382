# Shell functions shared by build.sh and the scripts that it runs. Sourced from
# the root of the repository.

BUILD_DIR=${BUILD_DIR:-build}
JOBS=${JOBS:-$(nproc)}

install_packages() {
  apt-get update -qq
  # shellcheck disable=SC2046
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    $(cat scripts/packages.txt) >/dev/null
}

# Installs only if a declared package is missing, so that no package registry is
# needed on a machine that is already set up.
ensure_packages() {
  # shellcheck disable=SC2046
  if ! dpkg -s $(cat scripts/packages.txt) >/dev/null 2>&1; then
    install_packages
  fi
}

own_sources() {
  git ls-files --cached --others --exclude-standard '*.cc' '*.h' |
    grep -v '/generated/' | while read -r f; do [ -e "$f" ] && echo "$f"; done
}

configure() { mkdir -p "$BUILD_DIR"; cmake -S . -B "$BUILD_DIR" -G Ninja >"$BUILD_DIR/configure.log" 2>&1 || {
  cat "$BUILD_DIR/configure.log"; return 1; }; }

build() {
  configure
  ninja -C "$BUILD_DIR" -j "$JOBS" "$1"
}

check_format() {
  # shellcheck disable=SC2046
  clang-format --dry-run -Werror $(own_sources)
  echo "format: clean"
}

# Lints a file again only if its preprocessed text, the linter's settings or the
# linter's version changed. The stamp's name is the hash of all three, so a stamp
# is never reused for different input.
check_lint() {
  mkdir -p "$BUILD_DIR/lint"
  own_sources | grep '\.cc$' | xargs -P "$JOBS" -n 1 scripts/lint_file.sh "$BUILD_DIR"
  echo "lint: clean"
}

run_ctest() {
  local red=KNOWN-RED.txt
  local known=""
  if [ -f "$red" ]; then
    known=$( (grep -vE '^\s*(#|$)' "$red" || true) | awk '{print $1}' | paste -sd'|' -)
  fi
  if [ -n "$known" ]; then
    echo "known failures, skipped (see KNOWN-RED.txt):"
    grep -vE '^\s*(#|$)' "$red"
    ctest --test-dir "$BUILD_DIR" --output-on-failure -E "^($known)\$" "$@"
  else
    ctest --test-dir "$BUILD_DIR" --output-on-failure "$@"
  fi
}
