// SPDX-License-Identifier: Apache-2.0
//
// The connections of the stand-in etcd.
#include <algorithm>

#include "standins/etcd_internal.h"

namespace badgerbridge::standins {

bool Etcd::Stream::HasWatch(std::int64_t watch_id) const {
  return std::any_of(watches.begin(), watches.end(),
                     [&](const Watch& watch) { return watch.id == watch_id; });
}

Etcd::Stream* Etcd::Connection::FindStream(etcd::StreamId id) {
  const auto found = streams.find(id);
  return found == streams.end() ? nullptr : found->second.get();
}

etcd::Http2ServerHandler Etcd::Connection::MakeHandler() {
  etcd::Http2ServerHandler handler;
  handler.on_call = [this](etcd::StreamId id, const etcd::CallHeaders& headers) {
    streams[id] = std::make_unique<Stream>(id, headers);
  };
  handler.on_message = [this](etcd::StreamId id, std::string_view message) {
    Stream* stream = FindStream(id);
    if (!stream) return;
    stream->messages.emplace_back(message);
    etcd.Handle(*this, *stream);
  };
  handler.on_half_closed = [this](etcd::StreamId id) {
    Stream* stream = FindStream(id);
    if (!stream) return;
    stream->is_half_closed = true;
    etcd.Handle(*this, *stream);
  };
  handler.on_closed = [this](etcd::StreamId id) { streams.erase(id); };
  handler.on_protocol_error = [this](const etcd::ProtocolError&) { ++etcd.protocol_errors_; };
  return handler;
}

void Etcd::Connection::Finish(Stream& stream, const etcd::Status& status) {
  stream.is_finished = true;
  http2().Finish(stream.id, status);
}

bool Etcd::Connection::FilterOutput(std::string* bytes) {
  bytes->insert(0, std::exchange(garbage, {}));
  if (!member.cut_after_bytes) return true;
  if (bytes->size() >= *member.cut_after_bytes) {
    bytes->resize(*member.cut_after_bytes);
    member.cut_after_bytes.reset();
    return false;
  }
  *member.cut_after_bytes -= bytes->size();
  return true;
}

}  // namespace badgerbridge::standins
