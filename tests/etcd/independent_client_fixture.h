// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test fixture for the independent client.
#ifndef BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_CLIENT_FIXTURE_H_
#define BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_CLIENT_FIXTURE_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "independent_client.h"
#include "standin_process.h"

namespace badgerbridge::independent_client {

/// A running cluster and a client of each member.
class IndependentEtcdClient : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(standin_.addresses().size(), kMembers);
    for (const std::string& address : standin_.addresses())
      clients_.push_back(std::make_unique<Client>(address));
  }
  /// Returns the client of one member.
  Client& client(std::size_t member = 0) { return *clients_[member]; }

  /// Writes three keys whose order by key differs from their order by value.
  void PutThree() {
    client().MustPut("a", "1");
    client().MustPut("b", "3");
    client().MustPut("c", "2");
  }

  StandinProcess standin_;

 private:
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace badgerbridge::independent_client

#endif  // BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_CLIENT_FIXTURE_H_
