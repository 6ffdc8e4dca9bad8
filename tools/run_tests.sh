#!/usr/bin/env bash
# Runs the whole test suite. Tests listed in KNOWN-RED.txt must fail: they are left out of the first run, then
# each is run alone, and a listed test that passes fails the suite.
#
# A line of KNOWN-RED.txt is `TEST ; CAUSE ; ISSUE`, where TEST is the test's whole path within its program.
set -euo pipefail
cd "$(dirname "$0")/.."

max_listed=3
listed=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t listed < <(sed -E '/^(#|$)/d; s/ *;.*//' KNOWN-RED.txt)
fi
if [ "${#listed[@]}" -gt "$max_listed" ]; then
  echo "KNOWN-RED.txt lists ${#listed[@]} tests, $max_listed at most are allowed"
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
    echo "KNOWN-RED.txt lists $test, which is no test"
    exit 1
  fi
  if [ "$status" -eq 0 ]; then
    echo "KNOWN-RED.txt lists $test, which passes: take it off the list"
    exit 1
  fi
  echo "known red: $(grep -F "$test" KNOWN-RED.txt)"
done
