// SPDX-License-Identifier: Apache-2.0
/// @file
/// Errors of the decoders of etcd records.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ERROR_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ERROR_H_

#include <boost/system/result.hpp>
#include <stdexcept>
#include <string>

namespace badgerbridge::zone_failover {

/// Describes why a record from etcd was rejected.
struct ZoneFailoverError {
  /// The type of the rejected record.
  enum class Record {
    kLoadReport,  ///< a member's load report
    kDecision,    ///< the decision that all members share
    kRoster,      ///< the list of members that share the grants of a decision
  };
  /// The cause of the rejection.
  enum class Kind {
    kTooLong,             ///< longer than the size limit of the record
    kNotAnObject,         ///< not a JSON object
    kUnsupportedVersion,  ///< the format version is not supported
    kNotANumber,          ///< a field is not a number, or is out of range
    kUnknownZone,         ///< a zone index is out of range
    kZonesMismatch,       ///< the list of zones is missing or has another length
    kMalformedZone,       ///< the entry of a zone is malformed
    kUnknownState,        ///< the state of a zone is not known
    kNotAList,            ///< a field is not a list
    kMalformedEntry,      ///< an entry of a member list is malformed
    kMalformedMatrix,     ///< a matrix is not a list of origin, receiver and value
    kOtherEpoch,          ///< the roster belongs to another decision
  };

  Record record = Record::kDecision;  ///< type of the rejected record
  Kind kind = Kind::kNotAnObject;     ///< cause of the rejection
  std::string field;                  ///< name of the JSON field; empty: the whole record
  std::string value;                  ///< rejected value as JSON, truncated; empty: the field is absent
};

/// Formats the error as one line for operators.
std::string Message(const ZoneFailoverError& error);

/// A value or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, ZoneFailoverError>;

/// Called by `Result::value()` for an error; throws std::runtime_error with its message.
[[noreturn]] inline void throw_exception_from_error(const ZoneFailoverError& error,
                                                    const boost::source_location& /*where*/) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ERROR_H_
