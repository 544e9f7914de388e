// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Requests to a watch cache, and a client's watch stream.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SERVICE_REQUESTS_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SERVICE_REQUESTS_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "etcd/channel.h"
#include "etcd/key_range.h"
#include "watch_cache/service_harness.h"

namespace badgerbridge::watch_cache {

inline constexpr char kRangePath[] = "/etcdserverpb.KV/Range";
inline constexpr char kWatchPath[] = "/etcdserverpb.Watch/Watch";

inline pb::RangeRequest ListRequest() {
  pb::RangeRequest request;
  request.set_key(kPrefix);
  request.set_range_end(etcd::PrefixRangeEnd(kPrefix));
  return request;
}

inline std::string CreateRequest(std::int64_t from, std::int64_t watch_id = 0,
                                 const std::string& key = kPrefix,
                                 const std::string& end = etcd::PrefixRangeEnd(kPrefix)) {
  pb::WatchRequest request;
  auto* create = request.mutable_create_request();
  create->set_key(key);
  create->set_range_end(end);
  create->set_start_revision(from);
  create->set_watch_id(watch_id);
  return request.SerializeAsString();
}

/// A watch stream of a client, which records all responses.
struct WatchStream {
  std::vector<pb::WatchResponse> responses;
  std::optional<etcd::Status> ended;
  std::shared_ptr<etcd::Channel> channel;
  std::optional<etcd::CallId> call;

  void Open(std::shared_ptr<etcd::Channel> on, const std::string& first) {
    channel = std::move(on);
    etcd::CallHandler handler;
    handler.on_message = [this](std::string_view text) {
      responses.emplace_back();
      EXPECT_TRUE(responses.back().ParseFromArray(text.data(), static_cast<int>(text.size())));
    };
    handler.on_end = [this](const etcd::Status& status) { ended = status; };
    call = channel->BeginCall(kWatchPath, {}, first, false, std::move(handler));
  }
  ~WatchStream() {
    if (channel) channel->Close("done");
  }
  void Send(const std::string& request) { channel->SendMessage(*call, request, false); }
  std::ptrdiff_t CountCreated() const {
    return std::count_if(responses.begin(), responses.end(),
                         [](const auto& response) { return response.created() && !response.canceled(); });
  }
  std::ptrdiff_t CountCanceled() const {
    return std::count_if(responses.begin(), responses.end(),
                         [](const auto& response) { return response.canceled(); });
  }
  std::size_t EventsOf(std::int64_t watch_id) const {
    std::size_t count = 0;
    for (const auto& response : responses)
      count += response.watch_id() == watch_id ? static_cast<std::size_t>(response.events_size()) : 0;
    return count;
  }
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SERVICE_REQUESTS_H_
