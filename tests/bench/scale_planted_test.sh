#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
#
# A scale run must fail, and say why, if a proxy misses deletions or is late with a drain.
# Usage: scale_planted_test.sh BENCH_SCALE
set -eu
fails_with() { # flag, words of the complaint
  if out=$("$1" --single --proxies 10 --backends 100 --processes 2 "$2"); then
    echo "the run with $2 passes"
    exit 1
  fi
  case "$out" in
    *"$3"*) ;;
    *)
      echo "the run with $2 does not say \"$3\":"
      echo "$out"
      exit 1
      ;;
  esac
}
fails_with "$1" --plant-lost-deletions "1 proxies end with another state than the source's"
fails_with "$1" --plant-late-drains "a drain was in force later than 500 ms at a proxy"
echo "both planted faults are found"
