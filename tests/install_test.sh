#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
#
# install_test.sh BUILD: installs that build into an empty prefix, runs what came there, and reads the Debian package that
# it makes. BUILD has everything (the preset "release").
set -euo pipefail
build=$(cd "$1" && pwd)
source=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
expect() { # what it is, then a command that must succeed
  local what=$1
  shift
  if "$@" >"$work/out" 2>&1; then
    passed=$((passed + 1))
  else
    echo "FAILED: $what"
    cat "$work/out"
    exit 1
  fi
}

prefix=$work/prefix
expect "installs into an empty prefix" cmake --install "$build" --prefix "$prefix"
for file in bin/badgerbridge bin/badgerbridge-agent bin/badgerbridge-ctl bin/badgerbridge-simulator bin/badgerbridge-relay share/badgerbridge/scenarios/calm.toml lib/systemd/system/badgerbridge-agent.service \
  lib/systemd/system/badgerbridge-relay.service lib/systemd/system/badgerbridge@.service lib/sysusers.d/badgerbridge.conf etc/badgerbridge/operator.toml \
  etc/badgerbridge/fleet.toml etc/badgerbridge/context.toml etc/badgerbridge/relay.toml share/man/man1/badgerbridge.1 share/man/man1/badgerbridge-relay.1 \
  share/man/man1/badgerbridge-agent.1 share/man/man1/badgerbridge-ctl.1 share/man/man1/badgerbridge-simulator.1 share/bash-completion/completions/badgerbridge-ctl \
  include/badgerbridge/balancer.h share/doc/badgerbridge/README.md; do
  expect "$file is there" test -s "$prefix/$file"
done
for program in badgerbridge badgerbridge-agent badgerbridge-ctl badgerbridge-simulator badgerbridge-relay; do
  expect "$program --version tells version and what is built in" \
    bash -c "'$prefix/bin/$program' --version | tr '\n' ' ' | grep -q '^$program [0-9.]* built in: [a-zA-Z]'"
  expect "$program.1 is a manual page with its options" \
    bash -c "grep -q '^.TH' '$prefix/share/man/man1/$program.1' && grep -q version '$prefix/share/man/man1/$program.1'"
done
expect "badgerbridge-ctl.1 has the commands' own options" grep -q -e '\\-\\-force' "$prefix/share/man/man1/badgerbridge-ctl.1"
# Scripts and units of administrators that still use the names before 0.2.0 go on working.
for pair in badgeragent:badgerbridge-agent badgerctl:badgerbridge-ctl badgerlab:badgerbridge-simulator badgerrelay:badgerbridge-relay; do
  former=${pair%%:*} current=${pair#*:}
  expect "$former is a link to $current" test "$(readlink "$prefix/bin/$former")" = "$current"
  expect "$former runs as $current" bash -c "'$prefix/bin/$former' --version | grep -q '^$current [0-9.]*'"
  expect "$former.1 is a link to $current.1" test "$(readlink "$prefix/share/man/man1/$former.1")" = "$current.1"
done
for pair in badgeragent:badgerbridge-agent badgerrelay:badgerbridge-relay; do
  expect "${pair%%:*}.service is an alias" \
    test "$(readlink "$prefix/lib/systemd/system/${pair%%:*}.service")" = "${pair#*:}.service"
done
expect "the completion is found by the former name" \
  test "$(readlink "$prefix/share/bash-completion/completions/badgerctl")" = badgerbridge-ctl
# The example names an operator's file of the instance, which the administrator writes: here the example itself.
sed -i "s|operator_file = \"[^\"]*\"|operator_file = \"$prefix/etc/badgerbridge/operator.toml\"|" \
  "$prefix/etc/badgerbridge/fleet.toml"
for file in operator fleet context; do
  expect "badgerbridge-ctl check $file.toml" "$prefix/bin/badgerbridge-ctl" check "$prefix/etc/badgerbridge/$file.toml"
done
expect "badgerbridge-relay --check takes the installed relay.toml" "$prefix/bin/badgerbridge-relay" --check --listen 127.0.0.1:0 \
  --upstream 127.0.0.1:2379 --prefix /badgerbridge/ --config "$prefix/etc/badgerbridge/relay.toml"
expect "badgerbridge-simulator plays an installed scenario" \
  "$prefix/bin/badgerbridge-simulator" run "$prefix/share/badgerbridge/scenarios/calm.toml" --most-steps 10000
expect "the completion is bash" bash -n "$prefix/share/bash-completion/completions/badgerbridge-ctl"
expect "no unit is left with a place to fill in" bash -c "! grep -q '@BADGER' '$prefix'/lib/systemd/system/*"
expect "the agent's unit leaves its instances alone" \
  grep -qx KillMode=process "$prefix/lib/systemd/system/badgerbridge-agent.service"
expect "the demo runs with the installed programs" env BADGERBRIDGE_BIN="$prefix/bin" "$build/badgerbridge-demo"

mkdir "$work/user"
cat >"$work/user/CMakeLists.txt" <<CMAKE
cmake_minimum_required(VERSION 3.25)
project(user LANGUAGES CXX)
find_package(badgerbridge REQUIRED)
add_executable(user $source/examples/minimal.cpp)
target_link_libraries(user PRIVATE badgerbridge::balancer)
CMAKE
expect "another project finds the library" cmake -S "$work/user" -B "$work/user/build" -DCMAKE_PREFIX_PATH="$prefix"
expect "and builds with it" cmake --build "$work/user/build"
expect "and runs" "$work/user/build/user"

expect "a Debian package is made" cpack --config "$build/CPackConfig.cmake" -B "$work/package"
package=$(ls "$work"/package/*.deb)
dpkg-deb --contents "$package" | awk '{ print $6 }' >"$work/contents"
for file in ./usr/bin/badgerbridge ./usr/bin/badgeragent ./usr/bin/badgerctl ./usr/bin/badgerrelay ./usr/bin/badgerbridge-agent ./usr/bin/badgerbridge-ctl ./etc/badgerbridge/operator.toml \
  ./etc/badgerbridge/fleet.toml ./etc/badgerbridge/context.toml ./usr/lib/systemd/system/badgerbridge-agent.service \
  ./usr/bin/badgerbridge-relay ./etc/badgerbridge/relay.toml ./usr/lib/systemd/system/badgerbridge-relay.service \
  ./usr/share/man/man1/badgerbridge-ctl.1 ./usr/share/bash-completion/completions/badgerbridge-ctl ./usr/include/badgerbridge/balancer.h; do
  expect "the package has $file" grep -qx "$file" "$work/contents"
done
expect "nothing of the package is under /usr/etc" bash -c "! grep -q '^./usr/etc' '$work/contents'"
dpkg-deb --control "$package" "$work/control"
expect "its configuration is the administrator's" grep -qx /etc/badgerbridge/operator.toml "$work/control/conffiles"
expect "it depends on the libraries that it links" grep -q '^Depends:.*libssl3' "$work/control/control"
expect "its scripts are shell" sh -n "$work/control/postinst"
dpkg-deb --extract "$package" "$work/unpacked"
expect "its units name its programs" grep -qx \
  'ExecStart=/usr/bin/badgerbridge-agent --fleet /etc/badgerbridge/fleet.toml' "$work/unpacked/usr/lib/systemd/system/badgerbridge-agent.service"
expect "the relay's unit reads what its administrator writes" grep -qx \
  'EnvironmentFile=/etc/badgerbridge/relay.env' "$work/unpacked/usr/lib/systemd/system/badgerbridge-relay.service"
expect "and its programs run" "$work/unpacked/usr/bin/badgerbridge-ctl" --version
echo "$passed passed, 0 failed"
