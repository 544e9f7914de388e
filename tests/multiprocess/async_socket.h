// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Waits on sockets and timers, for coroutines, and looks at a socket that take nothing from it.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ASYNC_SOCKET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ASYNC_SOCKET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace badgerbridge::multiprocess {

/// Waits so many ms.
boost::asio::awaitable<void> Pause(boost::asio::io_context& io, double time_ms);

/// Connects a socket. False: the connection was refused, or not established within so many ms.
boost::asio::awaitable<bool> ConnectWithin(boost::asio::ip::tcp::socket& socket,
                                           boost::asio::ip::tcp::endpoint address, double timeout_ms);

/// Waits until the socket has something to read, or its peer has closed it, or until this moment (NowMs).
boost::asio::awaitable<void> WaitReadable(boost::asio::ip::tcp::socket& socket, double until_ms);

/// What a read of a connected socket would give.
enum class ReadableState {
  kNothing,  ///< It would wait.
  kBytes,    ///< Bytes.
  kEnd,      ///< The end of the connection, by a close or an error.
};

/// Looks at a socket without taking anything from it.
ReadableState PeekSocket(boost::asio::ip::tcp::socket& socket);

/// Whether the peer has reset the connection since this was asked last.
bool TakeReset(boost::asio::ip::tcp::socket& socket);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ASYNC_SOCKET_H_
