// SPDX-License-Identifier: Apache-2.0
#include "simulator_protocol/reply_writer.h"

#include <cstring>
#include <type_traits>
#include <variant>

#include "simulator_protocol/wire.h"

namespace badgerbridge::simulator_protocol {
namespace {

using namespace balancer;

constexpr std::size_t kMaxTextBytes = 0xffff;

template <typename Number>
void AppendNumber(std::string& bytes, Number number) {
  static_assert(std::is_arithmetic_v<Number>);
  char copy[sizeof number];
  std::memcpy(copy, &number, sizeof number);
  bytes.append(copy, sizeof number);
}

void AppendText(std::string& bytes, std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  AppendNumber(bytes, static_cast<std::uint16_t>(text.size()));
  bytes.append(text);
}

// Appends an action's fields behind the instance, and returns the action's code.
struct ActionEncoder {
  std::string& fields;

  ActionCode operator()(const Dispatch& dispatch) const {
    AppendNumber(fields, dispatch.request);
    AppendNumber(fields, dispatch.timeout.count());
    AppendNumber(fields, dispatch.server);
    return kDispatchCode;
  }
  ActionCode operator()(const CancelAttempt& cancel) const {
    AppendNumber(fields, cancel.request);
    AppendNumber(fields, static_cast<std::uint8_t>(cancel.attempt));
    return kCancelAttemptCode;
  }
  ActionCode operator()(const Reject& reject) const {
    AppendNumber(fields, reject.request);
    AppendNumber(fields, reject.retry_after.count());
    return kRejectCode;
  }
  ActionCode operator()(const FailRequest& failure) const {
    AppendNumber(fields, failure.request);
    return kFailRequestCode;
  }
  ActionCode operator()(const SetTimer& timer) const {
    AppendNumber(fields, timer.at.time_since_epoch().count());
    AppendNumber(fields, timer.token);
    return kSetTimerCode;
  }
  ActionCode operator()(const Subscribe&) const {
    AppendNumber(fields, std::uint8_t{1});
    return kSubscribeCode;
  }
  ActionCode operator()(const Log& log) const {
    AppendText(fields, log.text);
    return kLogCode;
  }
};

void AppendRecord(std::string& body, ActionCode code, std::uint32_t instance, std::string_view fields) {
  AppendNumber(body, static_cast<std::uint8_t>(code));
  AppendNumber(body, static_cast<std::uint32_t>(sizeof instance + fields.size()));
  AppendNumber(body, instance);
  body.append(fields);
}

}  // namespace

void ReplyWriter::Add(std::uint32_t instance, const Action& action) {
  std::string fields;
  const ActionCode code = std::visit(ActionEncoder{fields}, action);
  AppendRecord(body_, code, instance, fields);
}

void ReplyWriter::AddInternalError(std::uint32_t instance, std::string_view text) {
  std::string fields;
  AppendText(fields, text);
  AppendRecord(body_, kInternalErrorCode, instance, fields);
}

std::string ReplyWriter::TakeFrame() {
  std::string frame;
  AppendNumber(frame, static_cast<std::uint32_t>(body_.size()));
  frame += body_;
  body_.clear();
  return frame;
}

}  // namespace badgerbridge::simulator_protocol
