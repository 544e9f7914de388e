// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/address_block.h"

#include <unistd.h>

#include "http_api/address.h"
#include "multiprocess/error.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int kBlocks = 250;
constexpr std::uint16_t kReservationPort = 7979;
constexpr int kFirstZoneNetwork = 80;  // 127.80.0.0/16 is that of zone 0
constexpr int kZoneNetworks = 40;
constexpr int kHostsInBlock = 250;

}  // namespace

AddressBlock::AddressBlock(asio::io_context& io) : io_(io), reservation_(io) {
  const int first = getpid() % kBlocks;
  for (int i = 0; i < kBlocks; ++i) {
    if (TryTake((first + i) % kBlocks)) return;
  }
  throw RunFailure({RunErrorKind::kNoAddressBlock, "", "", 0});
}

bool AddressBlock::TryTake(int block) {
  const tcp::endpoint address(asio::ip::make_address_v4("127.79." + std::to_string(block) + ".1"),
                              kReservationPort);
  boost::system::error_code error;
  reservation_.open(address.protocol());
  reservation_.bind(address, error);
  if (!error) reservation_.listen(1, error);
  if (error) reservation_.close();
  block_ = block;
  return !error;
}

std::string AddressBlock::HostOf(int zone, int number) const {
  return "127." + std::to_string(kFirstZoneNetwork + zone % kZoneNetworks) + "." + std::to_string(block_) +
         "." + std::to_string(1 + number % kHostsInBlock);
}

std::string AddressBlock::FindFreeAddress(int zone, int number) const {
  const tcp::acceptor probe(io_, {asio::ip::make_address_v4(HostOf(zone, number)), 0});
  return http_api::ToText(probe.local_endpoint());
}

}  // namespace badgerbridge::multiprocess
