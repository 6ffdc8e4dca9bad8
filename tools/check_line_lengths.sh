#!/usr/bin/env bash
# What rustfmt leaves alone: comments longer than its 100 columns, and string literals over 110.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files '*.rs' | xargs awk '
  length($0) > 110 || (length($0) > 100 && $0 ~ /^ *\/\//) {
    print FILENAME ": line " FNR " is too long"
    has_long_line = 1
  }
  END { exit has_long_line }'
echo "line lengths: good"
