#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
#
# scenarios_test.sh SIMULATOR: every shipped scenario, twice in different processes, its first 150,000 events: the rules
# hold, and both runs are the same to the byte. And what is no scenario gets a line and exit code 2.
set -euo pipefail
simulator=$1
scenarios=$(cd "$(dirname "$0")/../../scenarios" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
for file in "$scenarios"/*.toml; do
  for turn in 1 2; do
    if ! "$simulator" run "$file" --most-steps 150000 -o json >"$work/$turn" 2>"$work/error"; then
      echo "FAILED: $file: $(cat "$work/$turn" "$work/error")"
      exit 1
    fi
  done
  cmp "$work/1" "$work/2"
  grep -q '"steps":150000,' "$work/1"
  passed=$((passed + 1))
done
[ "$passed" -ge 9 ]
# Comparisons: the same bytes on one thread as on three.
sed 's/^length = .*/length = "300ms"/' "$scenarios/zone_slow.toml" | sed '/^\[\[happening\]\]/,$d' >"$work/short.toml"
for threads in 1 3; do
  "$simulator" compare "$work/short.toml" --decide off,together --proxies 2,3 --seeds 2 --threads $threads -o json >"$work/$threads"
done
cmp "$work/1" "$work/3"
[ "$(grep -o '"way":' "$work/1" | wc -l)" = 4 ]
"$simulator" compare "$work/short.toml" --seeds 1 | grep -q '^off, 40 proxies '
passed=$((passed + 1))
echo 'length = "5 parsecs"' >"$work/bad.toml"
for command in "run $work/bad.toml" "check $work/bad.toml" "run $work/none.toml" "run" "fly" "run $scenarios/calm.toml -o xml" "compare $work/none.toml" \
  "compare $work/short.toml --decide perhaps" "compare $work/short.toml --proxies 0" "compare $work/short.toml --seeds 0"; do
  code=0
  # shellcheck disable=SC2086
  "$simulator" $command >"$work/out" 2>"$work/error" || code=$?
  # shellcheck disable=SC2015 # the braces end the script
  [ "$code" = 2 ] && [ -s "$work/error" ] || { echo "FAILED: $command: exit code $code"; exit 1; }
  passed=$((passed + 1))
done
echo "$passed passed, 0 failed"
