// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Lines on the pipes between a run and its role processes.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_LINE_IO_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_LINE_IO_H_

#include <boost/asio/streambuf.hpp>
#include <cstddef>
#include <string>

namespace badgerbridge::multiprocess {

/// Takes the first `size` bytes out of the buffer.
std::string TakeLine(boost::asio::streambuf& buffer, std::size_t size);

/// Writes all of `text` to a descriptor; gives up silently if its reader is gone. Blocks while the pipe is
/// full: its reader always reads, so that is soon over.
void WriteAll(int descriptor, const std::string& text);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_LINE_IO_H_
