// SPDX-License-Identifier: Apache-2.0

/// \file
/// A watch made by the independent client.
#ifndef BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_WATCHER_H_
#define BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_WATCHER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "independent_client.h"

namespace badgerbridge::independent_client {

/// One watch on its own stream.
class Watcher {
 public:
  /// Creates the watch and waits for the first response.
  Watcher(Client& client, const pb::WatchCreateRequest& create)
      : context_(NewContext()), stream_(client.watch().Watch(context_.get())) {
    pb::WatchRequest request;
    *request.mutable_create_request() = create;
    EXPECT_TRUE(stream_->Write(request));
    created_ = Read();
  }
  ~Watcher() { context_->TryCancel(); }
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

  /// The first response; empty if the stream ended before it.
  const pb::WatchResponse& created() const { return created_; }
  /// Waits for the next response.
  pb::WatchResponse Read() {
    pb::WatchResponse response;
    EXPECT_TRUE(stream_->Read(&response)) << "the watch has ended";
    return response;
  }
  /// Waits for the next event; nullopt if the stream has ended.
  std::optional<pb::Event> NextEvent() {
    pb::WatchResponse response;
    while (pending_.empty()) {
      if (!stream_->Read(&response)) return std::nullopt;
      pending_.assign(response.events().rbegin(), response.events().rend());
    }
    pb::Event event = pending_.back();
    pending_.pop_back();
    return event;
  }
  /// Requests cancellation of the watch.
  void Cancel() {
    pb::WatchRequest request;
    request.mutable_cancel_request()->set_watch_id(created_.watch_id());
    EXPECT_TRUE(stream_->Write(request));
  }

 private:
  std::unique_ptr<grpc::ClientContext> context_;
  std::unique_ptr<grpc::ClientReaderWriter<pb::WatchRequest, pb::WatchResponse>> stream_;
  pb::WatchResponse created_;
  std::vector<pb::Event> pending_;  // in reverse order: the next event is last
};

/// Returns a request to watch all keys with a prefix.
inline pb::WatchCreateRequest WatchPrefix(const std::string& prefix) {
  pb::WatchCreateRequest create;
  create.set_key(prefix);
  create.set_range_end(PrefixRangeEnd(prefix));
  return create;
}

}  // namespace badgerbridge::independent_client

#endif  // BADGERBRIDGE_TESTS_ETCD_INDEPENDENT_WATCHER_H_
