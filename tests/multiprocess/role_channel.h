// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A role process's end of the pipes to its run: commands on standard input, events on standard output.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ROLE_CHANNEL_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ROLE_CHANNEL_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <string>
#include <vector>

#include "multiprocess/message_dispatcher.h"

namespace badgerbridge::multiprocess {

/// Reads commands and writes events.
class RoleChannel {
 public:
  /// For the io_context that the role runs.
  explicit RoleChannel(boost::asio::io_context& io);
  RoleChannel(const RoleChannel&) = delete;
  RoleChannel& operator=(const RoleChannel&) = delete;

  /// Sets the handler of a type of command.
  template <typename Command>
  void On(std::function<void(const Command&)> handler) {
    dispatcher_.On<Command>(std::move(handler));
  }

  /// Begins to read commands; stops the io_context at the end of the input. What a handler throws is sent as
  /// RoleError.
  void Start();

  /// Writes an event.
  template <typename Event>
  void Send(const Event& event) {
    SendLine(EncodeMessage(event));
  }

  /// Writes these records as events of a bounded size.
  template <typename Record>
  void SendRecords(std::vector<Record> Records::*member, const std::vector<Record>& records) {
    for (std::size_t first = 0; first < records.size(); first += kMaxRecordsPerEvent) {
      const std::size_t last = std::min(records.size(), first + kMaxRecordsPerEvent);
      Records event;
      event.*member = {records.begin() + static_cast<std::ptrdiff_t>(first),
                       records.begin() + static_cast<std::ptrdiff_t>(last)};
      Send(event);
    }
  }

 private:
  static constexpr std::size_t kMaxRecordsPerEvent = 200;

  void ReadCommand();
  void Handle(const std::string& line);
  static void SendLine(const std::string& line);

  boost::asio::io_context& io_;
  boost::asio::posix::stream_descriptor input_;
  boost::asio::streambuf buffer_{64 << 20};
  MessageDispatcher dispatcher_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ROLE_CHANNEL_H_
