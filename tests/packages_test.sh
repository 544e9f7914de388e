#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
#
# scripts/packages where programs are missing and nothing may be installed: it prints the one line to run, and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
chmod 755 "$work" # for the other user, whatever the mask
for program in sh id dirname cat; do ln -s "$(command -v $program)" "$work/$program"; done # no cmake, no sudo
install -m 755 scripts/packages "$work/packages"
as=()
[ "$(id -u)" != 0 ] || as=("$(command -v setpriv)" --reuid=65534 --regid=65534 --clear-groups)
code=0
"${as[@]}" "$(command -v env)" -i PATH="$work" "$work/sh" "$work/packages" >"$work/out" 2>&1 || code=$?
[ "$code" = 1 ] || { echo "FAILED: exit code $code"; cat "$work/out"; exit 1; }
grep -Eq '^  apt-get update && apt-get install -y .*cmake' "$work/out" || { echo "FAILED:"; cat "$work/out"; exit 1; }
[ "$(grep -c apt-get "$work/out")" = 1 ]
echo "2 passed, 0 failed"
