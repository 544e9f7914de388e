#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
#
# Builds the stand-ins of the second review's cases with the C++ compiler alone; into build-review/, which git ignores.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[0-9]/play.cpp review/10/play.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -Ireview "$source" -o "build-review/play$number"
done
