// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Messages as lines of JSON, and the handlers of those that come in.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_MESSAGE_DISPATCHER_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_MESSAGE_DISPATCHER_H_

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "multiprocess/messages.h"

namespace badgerbridge::multiprocess {

/// A message as a line, with the line end.
template <typename Message>
std::string EncodeMessage(const Message& message) {
  const boost::json::object envelope{{"message", Message::kName}, {"body", boost::json::value_from(message)}};
  return boost::json::serialize(envelope) + "\n";
}

/// Calls the handler of each message that comes in.
class MessageDispatcher {
 public:
  /// Sets the handler of a type of message.
  template <typename Message>
  void On(std::function<void(const Message&)> handler) {
    handlers_[Message::kName] = [handler = std::move(handler)](const boost::json::value& body) {
      handler(boost::json::value_to<Message>(body));
    };
  }

  /// Decodes a line and calls the handler of its message. Throws RunFailure (kMalformedMessage) if it is no
  /// message, or one that has no handler; and whatever the handler throws.
  void Dispatch(const std::string& line) const;

 private:
  std::map<std::string, std::function<void(const boost::json::value&)>, std::less<>> handlers_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_MESSAGE_DISPATCHER_H_
