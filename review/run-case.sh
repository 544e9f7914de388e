#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
#
# run-case.sh N: runs the stand-ins of case N, which start the proxy by the `run` line of deploy/balancer.toml, in a
# temporary folder, for 110 s at most. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -u
number=$1
cd "$(dirname "$0")/.." || exit 2
RUN_LINE=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN_LINE
[ -n "$RUN_LINE" ] && [ -x build/badgerbridge ] && [ -x "build-review/case$number" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 1 115 "build-review/case$number" "$folder" "review/$number/record.txt"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
