// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Loopback addresses of a run: runs at the same time use different blocks of them.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ADDRESS_BLOCK_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ADDRESS_BLOCK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace badgerbridge::multiprocess {

/// Owns a block of loopback addresses.
class AddressBlock {
 public:
  /// Takes a free block. Throws RunFailure if there is none.
  explicit AddressBlock(boost::asio::io_context& io);

  /// The address with this number in a zone's part of the block.
  std::string HostOf(int zone, int number) const;

  /// "address:port" with a port that is free now. For an address that a single process listens on: on a
  /// shared one, the kernel may give a port that was just released to another process that asks.
  std::string FindFreeAddress(int zone, int number) const;

 private:
  bool TryTake(int block);

  boost::asio::io_context& io_;
  // Listens on the block's first address: the block belongs to the run that has this port.
  boost::asio::ip::tcp::acceptor reservation_;
  int block_ = 0;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ADDRESS_BLOCK_H_
