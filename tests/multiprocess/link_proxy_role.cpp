// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role wire`: the link proxy between the groups.
#include <boost/asio/io_context.hpp>

#include "http_api/address.h"
#include "multiprocess/event_loop_lag.h"
#include "multiprocess/link_proxy.h"
#include "multiprocess/role_channel.h"
#include "multiprocess/roles.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;

namespace {

std::chrono::microseconds ToMicroseconds(double time_ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(time_ms * 1000));
}

LinkDirection DirectionFrom(const SetLink& command, bool is_cut) {
  return {ToMicroseconds(command.delay_ms), ToMicroseconds(command.jitter_ms), is_cut, command.bytes_per_s};
}

Link LinkFrom(const SetLink& command) {
  return {DirectionFrom(command, command.is_forward_cut), DirectionFrom(command, command.is_back_cut),
          command.swallowed_share};
}

}  // namespace

int RunLinkProxyRole() {
  asio::io_context io(1);
  RoleChannel channel(io);
  LinkProxy proxy(io, 1);
  EventLoopLagMonitor lag_monitor(io);
  channel.On<OpenLink>([&](const OpenLink& command) {
    const auto address = proxy.Open(command.from, command.to, http_api::ParseAddress(command.target).value(),
                                    asio::ip::make_address_v4(command.host));
    channel.Send(LinkOpened{command.number, http_api::ToText(address)});
  });
  channel.On<SetLink>(
      [&](const SetLink& command) { proxy.SetLink(command.from, command.to, LinkFrom(command)); });
  channel.On<BreakLink>([&](const BreakLink& command) {
    if (command.how == LinkBreak::kReset) return proxy.Reset(command.from, command.to);
    proxy.HalfClose(command.from, command.to);
  });
  channel.On<ReportRecords>([&](const ReportRecords&) {
    channel.SendRecords(&Records::lags, lag_monitor.lags());
    channel.Send(Ended{});
  });
  channel.Start();
  channel.Send(Ready{});
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
