// SPDX-License-Identifier: Apache-2.0
#ifndef BADGERBRIDGE_BENCH_SLOPES_PROXY_H_
#define BADGERBRIDGE_BENCH_SLOPES_PROXY_H_

#include <boost/json/value.hpp>

namespace badgerbridge::bench {

// What a proxy with so many backends answers to GET /v1/members.
boost::json::value DescribedMembers(int backends);

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_SLOPES_PROXY_H_
