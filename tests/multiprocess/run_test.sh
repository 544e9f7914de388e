#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
#
# run_test.sh PROGRAM: a run that fails prints its timeline and exits with 1; a malformed plan gets a line and 2; a run that is
# killed leaves no process.
set -euo pipefail
program=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export TMPDIR=$work
passed=0
expect() {
  [ "$2" = "$3" ] || { echo "FAILED: $1: $2, not $3"; exit 1; }
  passed=$((passed + 1))
}
# A zone is down for the whole run, and all of the weight is demanded.
sed -e 's/^length = .*/length = "2s"/' -e '/^\[\[happening\]\]/,$d' "$(dirname "$0")/plans/zone_dies.toml" >"$work/all.toml"
printf '[[happening]]\nat = "100ms"\nwhat = "stop"\n\n[together]\nleast_worth_percent = 100\n' >>"$work/all.toml"
code=0
"$program" run "$work/all.toml" >"$work/out" 2>&1 || code=$?
expect "not all of the weight" $code 1
expect "its last line" "$(tail -1 "$work/out" | grep -c 'lost=0 .* BROKEN$')" 1
expect "its timeline" "$(grep -c 'ms  stop' "$work/out")" 1
expect "folders left" "$(find "$work" -maxdepth 1 -name 'multiprocess_test_*' | wc -l)" 0
for command in "run $work/none.toml" "run" "fly" "role nobody"; do
  code=0
  # shellcheck disable=SC2086
  "$program" $command >"$work/out" 2>&1 </dev/null || code=$?
  expect "$command" $code 2
done
# A proxy that ends at its start is reported at once, with the last line of its log.
mkdir "$work/bin"
ln "$program" "$work/bin/multiprocess_test" 2>/dev/null || cp "$program" "$work/bin/multiprocess_test"
printf '#!/bin/sh\necho "no luck today" >&2\nexit 3\n' >"$work/bin/badgerbridge"
chmod +x "$work/bin/badgerbridge"
code=0
"$work/bin/multiprocess_test" run "$work/all.toml" >"$work/out" 2>&1 || code=$?
expect "a proxy that ends at its start" $code 1
expect "how it ended" "$(grep -c 'did not run: n[0-9]* ended at its start, with 3: no luck today$' "$work/out")" 1
# A plan that freezes the leader, without zone failover.
sed 's/^least_worth_percent = 100/&\n[[together.fault]]\nat = "1s"\nwhat = "freeze_decider"/' "$work/all.toml" >"$work/no_leader.toml"
code=0
"$program" run "$work/no_leader.toml" >"$work/out" 2>&1 || code=$?
expect "a plan without a leader" $code 2
# Drains that no watch cache passes on are found: both that the proxies follow are stopped.
sed -e 's/^length = .*/length = "4s"/' -e '/^\[\[happening\]\]/,$d' "$(dirname "$0")/plans/relays.toml" >"$work/frozen_caches.toml"
cat >>"$work/frozen_caches.toml" <<'PLAN'
[[happening]]
at = "1s"
what = "drain"
share_percent = 50

[together]
etcd_members = 1
relays = 4
[[together.fault]]
at = "500ms"
what = "relay_freeze"
value = 3
[[together.fault]]
at = "500ms"
what = "relay_freeze"
value = 4
PLAN
code=0
"$program" run "$work/frozen_caches.toml" >"$work/out" 2>&1 || code=$?
expect "a drain that no proxy is notified of" $code 1
expect "its late sends" "$(tail -1 "$work/out" | grep -c 'lost=0 .* late_sends=[1-9].* BROKEN$')" 1
# Killed in the middle: every process that it started ends.
"$program" run "$work/all.toml" >"$work/out" 2>&1 &
pid=$!
for _ in $(seq 200); do
  children=$(cat "/proc/$pid/task/$pid/children" 2>/dev/null || true)
  [ "$(echo "$children" | wc -w)" -ge 14 ] && break
  sleep 0.05
done
expect "processes started" "$([ "$(echo "$children" | wc -w)" -ge 14 ] && echo yes)" yes
kill -KILL $pid
wait $pid 2>/dev/null || true
left=1
for _ in $(seq 200); do
  left=0
  for child in $children; do
    kill -0 "$child" 2>/dev/null && left=$((left + 1))
  done
  [ $left = 0 ] && break
  sleep 0.05
done
expect "processes left" $left 0
echo "$passed passed, 0 failed"
