// SPDX-License-Identifier: Apache-2.0
//
// Bytes that this process has received and sent over TCP, as the kernel counts them for each connection
// (TCP_INFO in tcp(7)): payload, without packets' headers.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_TCP_BYTES_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_TCP_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <map>

namespace badgerbridge::scale {

struct TcpBytes {
  std::uint64_t received = 0, sent = 0;  // `sent`: and acknowledged
  std::size_t connections = 0;           // open now
  std::size_t opened = 0;                // ever, that a sample has seen
};

// Samples the open connections. What one carried after its last sample before its end is not counted, so
// that it is to be sampled often while connections come and go.
class TcpByteCounter {
 public:
  TcpBytes Sample();

 private:
  struct Counts {
    std::uint64_t received = 0, sent = 0;
  };
  std::map<std::uint64_t, Counts> open_;  // by the socket's inode
  Counts closed_;
  std::size_t opened_ = 0;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_TCP_BYTES_H_
