#!/usr/bin/env bash
# Builds all programs and brings up a small site; Ctrl-C ends it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --examples --locked
exec target/debug/examples/site "$@"
