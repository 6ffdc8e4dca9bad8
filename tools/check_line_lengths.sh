#!/usr/bin/env bash
# Checks the line lengths that rustfmt does not: at most 100 columns for comments and 110 for other lines. Other
# lines exceed rustfmt's 100 columns only where a string literal does.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files '*.rs' | xargs awk '
  length($0) > 110 || (length($0) > 100 && $0 ~ /^ *\/\//) {
    print FILENAME ": line " FNR " is too long"
    has_long_line = 1
  }
  END { exit has_long_line }'
echo "line lengths: good"
