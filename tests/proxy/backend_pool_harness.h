// SPDX-License-Identifier: Apache-2.0
//
// A fixture with a pool of connections to scripted backends in the test process.
#ifndef BADGERBRIDGE_TESTS_PROXY_BACKEND_POOL_HARNESS_H_
#define BADGERBRIDGE_TESTS_PROXY_BACKEND_POOL_HARNESS_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {

/// A pool with one backend, and the results of the attempts on it.
class BackendPoolFixture : public ::testing::Test {
 protected:
  static constexpr BackendId kBackend = 5;

  /// A change to the list that sets the address and state of the backend.
  static EndpointList ListWith(tcp::endpoint address, BackendState state = BackendState::kReady) {
    EndpointList list;
    list.endpoints.push_back({});
    list.endpoints.back().entry.server = kBackend;
    list.endpoints.back().entry.state = state;
    list.endpoints.back().address = std::move(address);
    return list;
  }
  /// Limits that let a connection be reused at once, even after unsolicited bytes.
  static BackendPool::Limits WithoutMinIdleTime() {
    BackendPool::Limits limits;
    limits.min_idle_after_unsolicited = Duration(0);
    return limits;
  }
  /// Creates a new pool whose backend is `peer`.
  void StartPool(Peer& peer, BackendPool::Limits limits = WithoutMinIdleTime()) {
    pool = std::make_unique<BackendPool>(io, clock, limits);
    pool->Update(ListWith(peer.endpoint()));
  }
  /// A request with a body, or without one.
  std::shared_ptr<const ForwardedRequest> RequestOf(const std::string& body) {
    auto request = std::make_shared<ForwardedRequest>();
    request->method = body.empty() ? boost::beast::http::verb::get : boost::beast::http::verb::post;
    request->target = "/preview?obj=1";
    request->correlation_id = "c" + std::to_string(sent++);
    request->body = body;
    return request;
  }
  /// Begins an attempt and appends its result to `results`.
  BackendPool::AttemptHandle SendRequest(std::shared_ptr<const ForwardedRequest> request,
                                         Duration timeout = Duration(10000),
                                         TimePoint begin_before = TimePoint::max()) {
    return pool->Send(kBackend, std::move(request), timeout, begin_before,
                      [this](AttemptResult result) { results.push_back(std::move(result)); });
  }
  /// Begins an attempt of a new request.
  void Send(Duration timeout = Duration(10000), const std::string& body = "") {
    SendRequest(RequestOf(body), timeout);
  }
  /// Makes an attempt and returns its outcome. Expects exactly one result, not from within Send().
  Outcome OutcomeOfOneAttempt(Duration timeout = Duration(10000)) {
    const std::size_t before = results.size();
    Send(timeout);
    EXPECT_EQ(results.size(), before) << "ended from within the call";
    EXPECT_TRUE(RunUntil(io, [&] { return results.size() > before; }));
    RunReady(io);
    EXPECT_EQ(results.size(), before + 1) << "ended more than once";
    return results.size() > before ? results.back().outcome : Outcome::kUnknown;
  }

  asio::io_context io;
  ProxyClock clock;
  std::unique_ptr<BackendPool> pool;
  std::vector<AttemptResult> results;
  int sent = 0;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_BACKEND_POOL_HARNESS_H_
