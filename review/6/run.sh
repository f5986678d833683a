#!/usr/bin/env bash
# Two workers of a group crash one right after the other, and a spare carries out one order to join late.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# both out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review-2/release/review-standins-2"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/cuminlb" ]; then
  echo "build the deploy file first, then run review/build-2.sh" >&2
  exit 2
fi
cd "$root" && exec "$program" late-join "$root" "$folder/record.txt"
