// SPDX-License-Identifier: Apache-2.0
//
// How the rig speaks with its processes: one JSON object a line over a socket pair, each answered by one.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_CONTROL_CHANNEL_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_CONTROL_CHANNEL_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace badgerbridge::scale {

// Nanoseconds of CLOCK_MONOTONIC, which all processes of a machine share.
std::int64_t NowNs();

// A process of the rig's own program in another role. It is ended with this object, and with the rig.
class Child {
 public:
  explicit Child(const std::string& role);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  pid_t pid() const { return pid_; }
  // Throws std::runtime_error if the process is gone, says "error", or does not answer in time.
  boost::json::object Call(const boost::json::object& command,
                           std::chrono::milliseconds timeout = std::chrono::seconds(60));
  void Send(const boost::json::object& command);
  boost::json::object Receive(std::chrono::milliseconds timeout);

 private:
  std::string role_;
  pid_t pid_ = -1;
  int socket_ = -1;
  std::string received_;
};

// The same command to all at once; their answers in order.
std::vector<boost::json::object> CallAll(const std::vector<std::unique_ptr<Child>>& children,
                                         const boost::json::object& command,
                                         std::chrono::milliseconds timeout = std::chrono::seconds(60));

// The other end, in a child: takes commands on the descriptor that the rig left it, stops the io_context at
// the channel's end.
class CommandServer {
 public:
  using Reply = std::function<void(boost::json::object)>;  // once, now or later
  using Handler = std::function<void(const boost::json::object& command, Reply reply)>;

  CommandServer(boost::asio::io_context& io, Handler handler);

 private:
  void ReadNext();
  void Answer(const boost::json::object& answer);

  boost::asio::io_context& io_;
  Handler handler_;
  boost::asio::local::stream_protocol::socket socket_;
  boost::asio::streambuf buffer_;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_CONTROL_CHANNEL_H_
