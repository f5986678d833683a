#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review (folders 6 to 10). Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
  --target-dir target/review-2
