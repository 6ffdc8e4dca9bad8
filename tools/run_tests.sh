#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt are expected to fail: they are left out of the first run and then
# run one by one, and a listed test that passes fails the run.
#
# A line of KNOWN-RED.txt is `TEST ; CAUSE ; ISSUE`, where TEST is the full path of the test within its binary.
set -euo pipefail
cd "$(dirname "$0")/.."

max_listed=3
listed=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t listed < <(sed -E '/^(#|$)/d; s/ *;.*//' KNOWN-RED.txt)
fi
if [ "${#listed[@]}" -gt "$max_listed" ]; then
  echo "KNOWN-RED.txt lists ${#listed[@]} tests, at most $max_listed are allowed"
  exit 1
fi

skip_arguments=()
for test in "${listed[@]}"; do
  skip_arguments+=(--skip "$test")
done
if [ "${#skip_arguments[@]}" -gt 0 ]; then
  cargo test --workspace --locked -- --exact "${skip_arguments[@]}"
else
  cargo test --workspace --locked
fi

for test in "${listed[@]}"; do
  output=$(cargo test --workspace --locked -- --exact "$test" 2>&1) && status=0 || status=$?
  if ! grep -qF "test $test ... " <<<"$output"; then
    echo "KNOWN-RED.txt lists $test, but no test has that name"
    exit 1
  fi
  if [ "$status" -eq 0 ]; then
    echo "KNOWN-RED.txt lists $test, but it passes: remove it from the list"
    exit 1
  fi
  echo "known red: $(grep -F "$test" KNOWN-RED.txt)"
done
