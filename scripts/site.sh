#!/usr/bin/env bash
# Builds all programs and starts a small local site; Ctrl-C stops it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --examples --locked
exec target/debug/examples/site "$@"
