#!/usr/bin/env bash
# Prints one digest per simulated day, to compare the decisions of two versions of the code: equal decisions give
# equal digests. The simulator does not use names of the code, so a rename or a move must not change any line.
#
# Usage: tools/simulator_digests.sh LBSIM SITE...
#
# LBSIM is the simulator's binary, SITE the file of a deployment to simulate. For each site, the script simulates
# days of four kinds, each with two seeds. Values that depend on the machine (times, names of snapshots) are left
# out of the digest.
set -euo pipefail
cd "$(dirname "$0")/.."

lbsim=$1
shift
for site in "$@"; do
  for kind in quiet trouble overload big; do
    for seed in 11 12; do
      "$lbsim" run "$site" --seed "$seed" --kind "$kind" --policy-seed 5 --json \
        --why "digest of a day, to compare decisions before and after a rename" 2>/dev/null |
        python3 -c '
import hashlib, json, sys
text = sys.stdin.read()
day = json.loads(text[text.index("{"):text.rindex("}") + 1])
for key in ("snapshot", "usage", "wall_ms", "cpu_late"):
    day.pop(key, None)
digest = hashlib.sha256(json.dumps(day, sort_keys=True).encode()).hexdigest()
print(*sys.argv[1:], digest[:16], "requests=%d" % day["requests"])
' "$(basename "$site" .toml)" "$kind" "$seed"
    done
  done
done
