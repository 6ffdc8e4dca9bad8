#!/usr/bin/env bash
# Checks limits that rustfmt does not check: comments have at most 100 columns, other lines at most 110. rustfmt
# leaves a line longer than 100 columns only if a string literal makes it so long.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files '*.rs' | xargs awk '
  length($0) > 110 || (length($0) > 100 && $0 ~ /^ *\/\//) {
    print FILENAME ": line " FNR " is too long"
    has_long_line = 1
  }
  END { exit has_long_line }'
echo "line lengths: good"
