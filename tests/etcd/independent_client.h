// SPDX-License-Identifier: Apache-2.0

/// \file
/// An etcd client that shares no code with src/etcd: gRPC's C++ library with the published API. Every call
/// has a deadline, and every wait ends on a condition.
#ifndef BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_CLIENT_H_
#define BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_CLIENT_H_

#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "etcd.grpc.pb.h"

namespace badgerbridge::independent_client {

namespace pb = etcdserverpb;

inline constexpr auto kCallDeadline = std::chrono::seconds(20);  ///< Far longer than any call takes.
inline const std::string kFromFirstKey(1, '\0');  ///< As both start and end of a range it selects all keys.

/// Returns a context whose call ends after kCallDeadline at the latest.
inline std::unique_ptr<grpc::ClientContext> NewContext() {
  auto context = std::make_unique<grpc::ClientContext>();
  context->set_deadline(std::chrono::system_clock::now() + kCallDeadline);
  return context;
}

/// A client of one cluster member.
class Client {
 public:
  /// `address` is "host:port".
  explicit Client(const std::string& address)
      : channel_(OpenChannel(address)),
        kv_(pb::KV::NewStub(channel_)),
        watch_(pb::Watch::NewStub(channel_)),
        lease_(pb::Lease::NewStub(channel_)),
        cluster_(pb::Cluster::NewStub(channel_)),
        maintenance_(pb::Maintenance::NewStub(channel_)),
        auth_(pb::Auth::NewStub(channel_)) {}

  // The services.
  pb::KV::Stub& kv() { return *kv_; }
  pb::Watch::Stub& watch() { return *watch_; }
  pb::Lease::Stub& lease() { return *lease_; }
  pb::Cluster::Stub& cluster() { return *cluster_; }
  pb::Maintenance::Stub& maintenance() { return *maintenance_; }
  pb::Auth::Stub& auth() { return *auth_; }

  grpc::Status Range(const pb::RangeRequest& request, pb::RangeResponse* response) {
    return kv_->Range(NewContext().get(), request, response);
  }
  grpc::Status Put(const pb::PutRequest& request, pb::PutResponse* response) {
    return kv_->Put(NewContext().get(), request, response);
  }
  grpc::Status Delete(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse* response) {
    return kv_->DeleteRange(NewContext().get(), request, response);
  }
  grpc::Status Txn(const pb::TxnRequest& request, pb::TxnResponse* response) {
    return kv_->Txn(NewContext().get(), request, response);
  }

  // Calls that must succeed.
  pb::RangeResponse MustRange(const pb::RangeRequest& request) {
    pb::RangeResponse response;
    const grpc::Status status = Range(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::PutResponse MustPut(const std::string& key, const std::string& value, std::int64_t lease = 0) {
    pb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    request.set_lease(lease);
    pb::PutResponse response;
    const grpc::Status status = Put(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::DeleteRangeResponse MustDelete(const pb::DeleteRangeRequest& request) {
    pb::DeleteRangeResponse response;
    const grpc::Status status = Delete(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::TxnResponse MustTxn(const pb::TxnRequest& request) {
    pb::TxnResponse response;
    const grpc::Status status = Txn(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::LeaseGrantResponse MustGrant(std::int64_t seconds) {
    pb::LeaseGrantRequest request;
    request.set_ttl(seconds);
    pb::LeaseGrantResponse response;
    const grpc::Status status = lease_->LeaseGrant(NewContext().get(), request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  void MustRevoke(std::int64_t lease) {
    pb::LeaseRevokeRequest request;
    request.set_id(lease);
    pb::LeaseRevokeResponse response;
    const grpc::Status status = lease_->LeaseRevoke(NewContext().get(), request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
  }

 private:
  static std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
  }

  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<pb::KV::Stub> kv_;
  std::unique_ptr<pb::Watch::Stub> watch_;
  std::unique_ptr<pb::Lease::Stub> lease_;
  std::unique_ptr<pb::Cluster::Stub> cluster_;
  std::unique_ptr<pb::Maintenance::Stub> maintenance_;
  std::unique_ptr<pb::Auth::Stub> auth_;
};

/// Returns the range end for all keys that begin with `prefix`. Its last byte must be below 0xff.
inline std::string PrefixRangeEnd(std::string prefix) {
  ++prefix.back();
  return prefix;
}

/// Returns a request that reads one key.
inline pb::RangeRequest KeyRequest(const std::string& key) {
  pb::RangeRequest request;
  request.set_key(key);
  return request;
}

/// Returns a request that reads all keys with a prefix.
inline pb::RangeRequest PrefixRequest(const std::string& prefix) {
  pb::RangeRequest request = KeyRequest(prefix);
  request.set_range_end(PrefixRangeEnd(prefix));
  return request;
}

/// Returns a request that reads all keys in sorted order.
inline pb::RangeRequest SortedRequest(pb::RangeRequest::SortTarget target, pb::RangeRequest::SortOrder order,
                                      std::int64_t limit = 0) {
  pb::RangeRequest request = KeyRequest(kFromFirstKey);
  request.set_range_end(kFromFirstKey);
  request.set_sort_target(target);
  request.set_sort_order(order);
  request.set_limit(limit);
  return request;
}

/// Key-value pairs.
using KeyValues = std::vector<std::pair<std::string, std::string>>;

/// Returns the key-value pairs of a response, in response order.
inline KeyValues KeyValuesOf(const pb::RangeResponse& response) {
  KeyValues pairs;
  for (const pb::KeyValue& kv : response.kvs()) pairs.emplace_back(kv.key(), kv.value());
  return pairs;
}

/// Returns the keys of a response, in response order.
inline std::vector<std::string> KeysOf(const pb::RangeResponse& response) {
  std::vector<std::string> keys;
  for (const pb::KeyValue& kv : response.kvs()) keys.push_back(kv.key());
  return keys;
}

}  // namespace badgerbridge::independent_client

#endif  // BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_CLIENT_H_
