#!/usr/bin/env bash
# Lints one source file; used by check_lint in scripts/lib.sh.
# usage: scripts/lint_file.sh BUILD_DIR FILE
set -euo pipefail
build=$1 file=$2
command=$(python3 - "$build" "$file" <<'PY'
import json, os, sys
build, name = sys.argv[1:]
for entry in json.load(open(os.path.join(build, "compile_commands.json"))):
    if os.path.samefile(entry["file"], name):
        words = entry["command"].split()
        words = [w for w in words if not w.endswith("ccache")]
        out = words.index("-o")
        del words[out:out + 2]
        words[words.index("-c")] = "-E"
        print(entry["directory"])
        print(" ".join(words))
        break
PY
)
# A file that belongs to no target has no compile command to lint it with.
[ -n "$command" ] || { echo "lint: $file is in no target" >&2; exit 1; }
directory=$(head -n 1 <<<"$command")
text=$(cd "$directory" && eval "$(tail -n 1 <<<"$command")" 2>/dev/null | sha256sum)
key=$( (echo "$text"; sha256sum <"$file"; cat .clang-tidy; clang-tidy --version) | sha256sum | cut -c1-32)
[ -e "$build/lint/$key" ] && exit 0
clang-tidy -p "$build" --quiet "$file" 2>"$build/lint/$key.err" || {
  grep -vE 'warnings? generated|^$' "$build/lint/$key.err" >&2; exit 1; }
touch "$build/lint/$key"
