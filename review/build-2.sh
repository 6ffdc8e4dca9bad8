#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10. They have no dependencies, so the build needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/common-2/Cargo.toml --target-dir target/review-2
