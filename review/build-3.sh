#!/usr/bin/env bash
# Builds the stand-ins of the scripts 11 to 15. It needs no network: the rig has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet --manifest-path review/rig-3/Cargo.toml --target-dir target/review-3
