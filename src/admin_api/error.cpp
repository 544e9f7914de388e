// SPDX-License-Identifier: Apache-2.0
#include "admin_api/error.h"

#include <stdexcept>

#include "admin_api/request_codec.h"

namespace badgerbridge::admin_api {

unsigned HttpStatus(RequestErrorCode code) {
  switch (code) {
    case RequestErrorCode::kUnknownPath:
    case RequestErrorCode::kNoMembership:
    case RequestErrorCode::kNoZoneFailover:
      return 404;
    case RequestErrorCode::kWrongMethod:
      return 405;
    case RequestErrorCode::kInvalidBody:
    case RequestErrorCode::kUnknownField:
    case RequestErrorCode::kInvalidDeadline:
      return 400;
    case RequestErrorCode::kStopping:
      return 409;
  }
  return 500;
}

std::string Message(const RequestError& error) {
  switch (error.code) {
    case RequestErrorCode::kUnknownPath:
      return "no such call; docs/operators/admin_api.md lists them";
    case RequestErrorCode::kWrongMethod:
      return "this path takes " + error.detail;
    case RequestErrorCode::kInvalidBody:
      return error.detail;
    case RequestErrorCode::kUnknownField:
      return "unknown member " + error.detail + "; deadline_ms is known";
    case RequestErrorCode::kInvalidDeadline:
      return "deadline_ms is no number from 0 to " + std::to_string(kMaxDrainDeadline.count());
    case RequestErrorCode::kStopping:
      return "this proxy is stopping";
    case RequestErrorCode::kNoMembership:
      return "no ledger here: the operator's file has no [etcd] table";
    case RequestErrorCode::kNoZoneFailover:
      return "no regions here: the operator's file has no [regions] table";
  }
  return "";
}

void throw_exception_from_error(const RequestError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::admin_api
