#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
