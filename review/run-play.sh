#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
#
# Plays one case of the second review: run-play.sh FOLDER. Its exit code is the case's.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
number=$(basename "$folder")
play=build-review/play$number
RUN_LINE=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ ! -x "$play" ] || [ ! -x build/badgerbridge ] || [ -z "$RUN_LINE" ]; then
  echo "build first: the build line of deploy/balancer.toml, and review/build-2.sh" >&2
  exit 2
fi
export RUN_LINE
temporary=$(mktemp -d) || exit 2
timeout -k 1 115 "$play" "$folder" "$temporary"
code=$?
rm -rf "$temporary"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
