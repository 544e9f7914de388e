// SPDX-License-Identifier: Apache-2.0
//
// A fixture with a proxy, and functions that classify its answers.
#ifndef BADGERBRIDGE_TESTS_PROXY_PROXY_FIXTURE_H_
#define BADGERBRIDGE_TESTS_PROXY_PROXY_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {

/// The number of occurrences of `part` in `text`.
inline int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += part.size()) ++count;
  return count;
}

/// Whether an answer says that the request failed and may have run.
inline bool IsFailed(const std::string& answer) {
  return answer.rfind("HTTP/1.1 500 ", 0) == 0 || answer.rfind("HTTP/1.1 502 ", 0) == 0 ||
         answer.rfind("HTTP/1.1 504 ", 0) == 0;
}

/// Whether an answer says that the request was rejected and has not run.
inline bool IsRejected(const std::string& answer) { return answer.rfind("HTTP/1.1 503 ", 0) == 0; }

/// Whether an answer says that the request was served.
inline bool IsServed(const std::string& answer) { return answer.rfind("HTTP/1.1 200 ", 0) == 0; }

/// A proxy that each test starts with a list of known backends.
class ProxyFixture : public ::testing::Test {
 protected:
  void Start(const std::vector<std::string>& known, int sockets = 1024, const std::string& tenants = "[]") {
    node = std::make_unique<Node>(io, TestConfig(known, sockets, tenants));
  }

  asio::io_context io;
  std::unique_ptr<Node> node;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_PROXY_FIXTURE_H_
