#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
#
# run_tests_test.sh: scripts/run-tests on a build folder made by hand, with all that KNOWN-RED.txt may and may not hold.
set -euo pipefail
script=$(cd "$(dirname "$0")/../../scripts" && pwd)/run-tests
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/scripts" "$work/build" "$work/empty"
cp "$script" "$work/scripts/"
# Names that a careless pattern would take for each other.
cat >"$work/build/CTestTestfile.cmake" <<'CMAKE'
add_test("Suite.Green" "/bin/true")
add_test("Suite.Red" "/bin/false")
add_test("Suite.RedToo" "/bin/true")
add_test("SuiteXRed" "/bin/true")
add_test("All/Suite.Red" "/bin/true")
add_test("All/Suite.Red/0+[1]" "/bin/false")
CMAKE
touch "$work/empty/CTestTestfile.cmake"

passed=0
# run EXIT-CODE LINE…: the script ends with that code, and each line is in what it prints.
run() {
  local code=0 wanted=$1
  shift
  env -C "$work" scripts/run-tests "${build:-build}" >"$work/out" 2>&1 || code=$?
  [ $code = "$wanted" ] || { echo "FAILED: exit code $code, not $wanted:"; cat "$work/out"; exit 1; }
  for line; do
    grep -qFx -- "$line" "$work/out" || { echo "FAILED: no line '$line' in:"; cat "$work/out"; exit 1; }
  done
  passed=$((passed + 1))
}
refused() { # MESSAGE: no test has started
  run 1 "KNOWN-RED.txt: $1"
  ! grep -q 'Start ' "$work/out" || { echo "FAILED: tests ran in spite of '$1'"; exit 1; }
}
# shellcheck disable=SC2059 # the callers' texts are formats
file() { printf "$@" >"$work/KNOWN-RED.txt"; }

run 8 "build: 67% tests passed, 2 tests failed out of 6; 0 passed over as known to fail"
build=empty run 8
file 'Suite.Red: waits for nobody: 31\nAll/Suite.Red/0+[1]: cause: with a colon: issue 32\n'
run 0 "passed over as known to fail: Suite.Red: waits for nobody: 31" \
  "passed over as known to fail: All/Suite.Red/0+[1]: cause: with a colon: issue 32" \
  "build: 100% tests passed, 0 tests failed out of 4; 2 passed over as known to fail"
file 'Suite.Red: waits for nobody: #31' # the last line's end is missing, and one red test is not listed
run 8 "build: 80% tests passed, 1 tests failed out of 5; 1 passed over as known to fail"
file ''
run 8 "build: 67% tests passed, 2 tests failed out of 6; 0 passed over as known to fail"
file 'Suite.Red: a: 1\nAll/Suite.Red/0+[1]: b: 1\nSuite.RedToo: c: 1\n'
run 0 "build: 100% tests passed, 0 tests failed out of 3; 3 passed over as known to fail"
file 'Suite.Red: a: 1\nAll/Suite.Red/0+[1]: b: 1\nSuite.RedToo: c: 1\nSuite.Green: d: 1'
refused "line 4: 3 tests at most may be known to fail"
file 'Suite.Red: a: 1\nSuite.Red: b: 2\n'
refused "line 2: 'Suite.Red' stands there twice"
for name in Suite.Re Suite Red 'Suite.*' All/Suite.Red/0; do
  file '%s: a: 1\n' "$name"
  refused "line 1: build has no test '$name'"
done
for line in '' '# none' 'Suite.Red' 'Suite.Red: a' 'Suite.Red: 1' 'Suite.Red: : 1' 'Suite.Red:a:1' 'Suite.Red: a: later' ' Suite.Red: a: 1'; do
  file '%s\n' "$line"
  refused "line 1: '$line' is not 'NAME: CAUSE: ISSUE'"
done
echo "$passed cases"
