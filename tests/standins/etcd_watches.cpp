// SPDX-License-Identifier: Apache-2.0
//
// The watches of the stand-in etcd (etcd's v3 API, service Watch).
#include <chrono>

#include "standins/etcd_internal.h"

namespace badgerbridge::standins {
namespace {

using etcd::Code;
using etcd::Ending;
using etcd::Status;
using Clock = std::chrono::steady_clock;

}  // namespace

void Etcd::HandleWatchMessages(Connection& connection, Stream& stream) {
  for (const std::string& message : std::exchange(stream.messages, {}))
    HandleWatch(connection, stream, message);
  if (stream.is_half_closed && !stream.is_finished) connection.Finish(stream, {});
}

void Etcd::HandleWatch(Connection& connection, Stream& stream, std::string_view message) {
  pb::WatchRequest request;
  if (!request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    ++protocol_errors_;
    return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "not a message"});
  }
  if (request.has_create_request()) return CreateWatch(connection, stream, request.create_request());
  if (request.has_cancel_request())
    return CancelWatch(connection, stream, request.cancel_request().watch_id());
  if (!request.has_progress_request()) return;
  pb::WatchResponse response;
  FillHeader(connection.member, response.mutable_header());
  response.set_watch_id(-1);
  connection.SendMessage(stream, response.SerializeAsString());
}

Etcd::Watch Etcd::MakeWatch(Stream& stream, const pb::WatchCreateRequest& create, std::int64_t revision) {
  Watch watch;
  while (create.watch_id() == 0 && stream.HasWatch(stream.next_watch_id)) ++stream.next_watch_id;
  watch.id = create.watch_id() != 0 ? create.watch_id() : stream.next_watch_id++;
  for (const int filter : create.filters()) {
    watch.without_puts |= filter == pb::WatchCreateRequest::NOPUT;
    watch.without_deletes |= filter == pb::WatchCreateRequest::NODELETE;
  }
  watch.key = create.key().empty() ? std::string(1, '\0') : create.key();
  watch.range_end = create.range_end();
  watch.next_revision = create.start_revision() > 0 ? create.start_revision() : revision + 1;
  watch.wants_progress = create.progress_notify();
  watch.wants_previous = create.prev_kv();
  watch.wants_fragments = create.fragment();
  return watch;
}

void Etcd::CreateWatch(Connection& connection, Stream& stream, const pb::WatchCreateRequest& create) {
  pb::WatchResponse response;
  FillHeader(connection.member, response.mutable_header());
  if (create.watch_id() != 0 && stream.HasWatch(create.watch_id())) {
    response.set_watch_id(-1);
    response.set_created(true);
    response.set_canceled(true);
    response.set_cancel_reason("mvcc: duplicate watch ID provided on the WatchStream");
    connection.SendMessage(stream, response.SerializeAsString());
    return;
  }
  Watch watch = MakeWatch(stream, create, response.header().revision());
  response.set_watch_id(watch.id);
  response.set_created(true);
  connection.SendMessage(stream, response.SerializeAsString());
  if (watch.next_revision <= store_->compacted()) {
    response.set_created(false);
    response.set_canceled(true);
    response.set_compact_revision(store_->compacted());
    connection.SendMessage(stream, response.SerializeAsString());
    return;
  }
  stream.watches.push_back(std::move(watch));
  Publish(connection);  // what is new to this watch; nothing is to the others
}

void Etcd::CancelWatch(Connection& connection, Stream& stream, std::int64_t watch_id) {
  const auto removed =
      std::erase_if(stream.watches, [&](const Watch& watch) { return watch.id == watch_id; });
  if (removed == 0) return;
  pb::WatchResponse response;
  FillHeader(connection.member, response.mutable_header());
  response.set_watch_id(watch_id);
  response.set_canceled(true);
  connection.SendMessage(stream, response.SerializeAsString());
}

void Etcd::Publish() {
  for (const auto& member : members_) {
    const auto connections = member->connections;
    for (const auto& connection : connections) Publish(*connection);
  }
}

void Etcd::Publish(Connection& connection) {
  for (auto& [id, stream] : connection.streams) {
    if (stream->is_finished) continue;
    if (stream->pending_read && !connection.member.is_lagging) {
      AnswerPendingRead(connection, *stream);
      continue;
    }
    for (Watch& watch : stream->watches) PublishTo(connection, *stream, watch);
  }
  connection.Flush();
}

// A read that had to wait until the member had caught up.
void Etcd::AnswerPendingRead(Connection& connection, Stream& stream) {
  const pb::RangeRequest request = *std::exchange(stream.pending_read, std::nullopt);
  pb::RangeResponse response;
  const Status status = store_->Range(request, &response);
  FillHeader(connection.member, response.mutable_header());
  if (status.ok()) connection.SendMessage(stream, response.SerializeAsString());
  connection.Finish(stream, status);
}

std::vector<pb::Event> Etcd::NewEvents(const Watch& watch, std::int64_t until) const {
  std::vector<pb::Event> events =
      store_->Events(watch.key, watch.range_end, watch.next_revision, watch.wants_previous);
  std::erase_if(events, [&](const pb::Event& event) {
    const bool is_filtered = event.type() == pb::Event::PUT ? watch.without_puts : watch.without_deletes;
    return event.kv().mod_revision() > until || is_filtered;
  });
  return events;
}

void Etcd::PublishTo(Connection& connection, Stream& stream, Watch& watch) {
  const std::int64_t until = RevisionAt(connection.member);
  if (watch.next_revision > until) return;
  const std::vector<pb::Event> events = NewEvents(watch, until);
  watch.next_revision = until + 1;
  pb::WatchResponse response;
  const auto send = [&](bool is_fragment) {
    FillHeader(connection.member, response.mutable_header());
    response.set_watch_id(watch.id);
    response.set_fragment(is_fragment);
    connection.SendMessage(stream, response.SerializeAsString());
    response.Clear();
  };
  std::size_t bytes = 0;
  std::size_t left = events.size();
  for (const pb::Event& event : events) {
    *response.add_events() = event;
    bytes += event.ByteSizeLong();
    --left;
    if (watch.wants_fragments && bytes >= settings_.fragment_bytes && left > 0) {
      send(true);
      bytes = 0;
    }
  }
  if (response.events_size() == 0) return;
  send(false);
  watch.last_message_at = Clock::now();
}

// Sends progress notifications to the watches that want them and had no message for a while.
void Etcd::NotifyProgress(Connection& connection) {
  bool has_sent = false;
  for (auto& [id, stream] : connection.streams) {
    for (Watch& watch : stream->watches) {
      const bool is_due = Clock::now() - watch.last_message_at >= settings_.progress_every;
      if (stream->is_finished || !watch.wants_progress || !is_due) continue;
      watch.last_message_at = Clock::now();
      pb::WatchResponse response;
      FillHeader(connection.member, response.mutable_header());
      response.set_watch_id(watch.id);
      connection.SendMessage(*stream, response.SerializeAsString());
      has_sent = true;
    }
  }
  if (has_sent) connection.Flush();
}

}  // namespace badgerbridge::standins
