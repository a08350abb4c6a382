#!/usr/bin/env bash
# Generates docs/settings.md from the programs' tables of settings keys. With
# --check, fails if the page differs from the tables.
set -euo pipefail
cd "$(dirname "$0")/.."
program=${BUILD_DIR:-build}/apps/knapweedstile/knapweedstile
page() {
  cat <<'TEXT'
# Settings

One TOML file a process: `knapweedstile gateway|store --config FILE`. The file is checked as a whole before anything
starts: each error names file, line, key, the value seen and what is allowed; unknown keys are errors; `--check`
validates and exits. This page is made by `scripts/settings_page.sh` from the tables that check the files.

Exit codes: 0 stopped gracefully, 2 wrong usage, 3 cannot listen, 4 wrong settings. Every event is logged to standard
output, one `key=value` line each. On the users' platform the file is filled in from `platform/settings.toml`.

TEXT
  "$program" gateway --reference
}
if [ "${1:-}" = --check ]; then
  diff <(page) docs/settings.md && echo "docs/settings.md is current"
else
  page >docs/settings.md
fi
