#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
#
# The stand-in etcd (the program given) against an independent client of the v3 API, etcdctl: its ordinary use, as etcd's
# documentation shows it. Each line says what the client must print, or its exit code.
set -u
folder=$(mktemp -d)
coproc STANDIN { exec "$1" 3; }
standin=$STANDIN_PID
trap 'kill $standin; rm -r "$folder"' EXIT
for i in 0 1 2; do read -r "address[$i]" <&"${STANDIN[0]}"; done
export ETCDCTL_API=3 ETCDCTL_ENDPOINTS=${address[0]}
failed=0 passed=0
etcd() { timeout 20 etcdctl "$@" 2>"$folder/err"; }
is() { # what, expected, got
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1))
  else
    echo "FAILED: $1: expected '$2', got '$3'; $(cat "$folder/err")"
    failed=$((failed + 1))
  fi
}
has() { # what, part, text
  case "$3" in *"$2"*) passed=$((passed + 1)) ;; *) is "$1" "…$2…" "$3" ;; esac
}
one_line() { tr '\n' ' ' | sed 's/ $//'; }

for pair in "a 1" "b 3" "c 2"; do is "put $pair" OK "$(etcd put $pair)"; done
is "a range" "1 3" "$(etcd get a c --print-value-only | one_line)"
is "sorted by value, the greatest two" "b 3 c 2" "$(etcd get --prefix "" --sort-by=VALUE --order=DESCEND --limit=2 | one_line)"
etcd put a 0 >/dev/null
is "sorted by revision" "b c a" "$(etcd get --prefix "" --keys-only --sort-by=MODIFY | grep . | one_line)"
is "sorted by creation" "a b c" "$(etcd get --prefix "" --keys-only --sort-by=CREATE | grep . | one_line)"
is "sorted by version" "a" "$(etcd get --prefix "" --keys-only --sort-by=VERSION --order=DESCEND --limit=1 | grep .)"
is "an older revision" 1 "$(etcd get a --rev=2 --print-value-only)"
is "deletion with what was there" "1 a 0" "$(etcd del a --prev-kv | one_line)"
is "a transaction that holds" "SUCCESS OK b 9" \
  "$(printf 'mod("b") > "0"\n\nput b 9\nget b\n\nput z 1\n\n' | etcd txn | grep . | one_line)"
is "and one that does not" "FAILURE OK" "$(printf 'value("b") = "3"\n\nput b 1\n\nput z 1\n\n' | etcd txn | grep . | one_line)"
lease=$(etcd lease grant 60 | cut -d' ' -f2)
is "a key under a lease" OK "$(etcd put leased x --lease="$lease")"
has "its time and keys" "attached keys([leased])" "$(etcd lease timetolive "$lease" --keys)"
has "kept alive" "keepalived with TTL(60)" "$(etcd lease keep-alive --once "$lease")"
has "listed" "$lease" "$(etcd lease list)"
etcd lease revoke "$lease" >/dev/null
is "gone with it" "" "$(etcd get leased)"
is "a lock" held "$(etcd lock l1 echo held)"
(timeout 20 etcdctl elect e1 first >"$folder/first" 2>&1 & echo $! >"$folder/pid")
for _ in $(seq 100); do grep -q first "$folder/first" && break; sleep 0.1; done
has "an election is won" first "$(cat "$folder/first")"
(timeout 20 etcdctl elect e1 second >"$folder/second" 2>&1 & echo $! >"$folder/pid2")
kill "$(cat "$folder/pid")"
for _ in $(seq 150); do grep -q second "$folder/second" && break; sleep 0.1; done
has "and passed on" second "$(cat "$folder/second")"
kill "$(cat "$folder/pid2")" 2>/dev/null
is "three members" 3 "$(etcd member list | wc -l)"
is "all healthy" 3 "$(ETCDCTL_ENDPOINTS=${address[0]},${address[1]},${address[2]} timeout 20 etcdctl endpoint health 2>&1 | grep -c "is healthy")"
has "status" "3.5.0" "$(etcd endpoint status)"
(timeout 20 etcdctl watch --prefix w >"$folder/watch" 2>&1 & echo $! >"$folder/pid")
for i in $(seq 100); do etcd put "w$i" x >/dev/null; grep -q PUT "$folder/watch" && break; sleep 0.1; done
etcd del --prefix w >/dev/null
for _ in $(seq 100); do grep -q DELETE "$folder/watch" && break; sleep 0.1; done
has "a watch sees a put" PUT "$(cat "$folder/watch")"
has "and a deletion" DELETE "$(cat "$folder/watch")"
kill "$(cat "$folder/pid")" 2>/dev/null
revision=$(etcd get b -w json | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2)
has "compaction" "compacted revision $revision" "$(etcd compact "$revision")"
etcd get b --rev=2 >/dev/null
is "what was compacted is refused" 1 $?
has "in etcd's words" "required revision has been compacted" "$(cat "$folder/err")"
etcd alarm list >/dev/null
is "a call that it does not serve is refused" 1 $?
has "as unimplemented" "Unimplemented" "$(cat "$folder/err")"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
