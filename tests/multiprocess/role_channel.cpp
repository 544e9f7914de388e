// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/role_channel.h"

#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <exception>

#include "multiprocess/line_io.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxQuotedBytes = 200;  // of a command that failed

}  // namespace

RoleChannel::RoleChannel(asio::io_context& io) : io_(io), input_(io, dup(STDIN_FILENO)) {}

void RoleChannel::Start() { ReadCommand(); }

void RoleChannel::ReadCommand() {
  asio::async_read_until(input_, buffer_, '\n',
                         [this](const boost::system::error_code& error, std::size_t size) {
                           if (error) return io_.stop();
                           Handle(TakeLine(buffer_, size));
                           ReadCommand();
                         });
}

void RoleChannel::Handle(const std::string& line) {
  try {
    dispatcher_.Dispatch(line);
  } catch (const std::exception& error) {
    Send(RoleError{std::string(error.what()) + " in " + line.substr(0, kMaxQuotedBytes)});
  }
}

void RoleChannel::SendLine(const std::string& line) { WriteAll(STDOUT_FILENO, line); }

}  // namespace badgerbridge::multiprocess
