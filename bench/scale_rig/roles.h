// SPDX-License-Identifier: Apache-2.0
//
// What a child of the rig does, until its command channel ends. Each returns the process's exit code.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_ROLES_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_ROLES_H_

namespace badgerbridge::scale {

// Many hollow proxies. A command's name is its "command"; its other fields are in braces:
//
// - prepare {size, numbers}: makes what the rig itself holds for these, so that memory is measured without
// it.
// - start {size, endpoints, numbers, per_second}: begins hollow proxies, so many a second at most.
// - stop {numbers}: ends them.
// - memory {}: bytes of heap in use, and the rig's own of them.
// - status {}: counts, bytes, how late the process's loop was at worst.
// - forget {}: times of what is in force, and the loop's lateness.
// - in_force {writes, last}: milliseconds until each was in force at each proxy that follows its service and
//   was ready when it was written; with `last`, of each proxy the largest alone.
// - check {digests}: compares each proxy's state with the source's, service by service.
// - ready_times {numbers}: milliseconds from each one's start until it was ready.
// - slow_reader {endpoint, prefix}: a client that watches a prefix and never reads.
int RunHollowProxies();

// The stand-in etcd with what the rig writes there. Commands:
//
// - open {size, members}: fills it; answers with the members' addresses.
// - write {backends, kind, every_ms}: one write for each of them, its kind "change", "drain" or "ready".
// - zone {zone, gone}: a zone's backends leave, or come back, one revision each.
// - digests {}: of its own state, by service.
// - silence {member, silent}: see standins::Etcd.
// - status {}: calls, connections, bytes.
// - speed {}: what serving a list costs it, alone.
int RunSource();

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_ROLES_H_
