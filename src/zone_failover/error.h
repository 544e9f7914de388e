// SPDX-License-Identifier: Apache-2.0
/// @file
/// Errors of the decoders of records that members read from etcd.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_ERROR_H_
#define BADGERBRIDGE_ZONE_FAILOVER_ERROR_H_

#include <boost/system/result.hpp>
#include <stdexcept>
#include <string>

namespace badgerbridge::zone_failover {

/// Why a record from etcd was not accepted.
struct ZoneFailoverError {
  /// Which record it was.
  enum class Record {
    kLoadReport,  ///< a member's load report
    kDecision,    ///< the common decision
    kRoster,      ///< the list of members that the decision counts
  };
  /// What was wrong.
  enum class Kind {
    kTooLong,             ///< more bytes than any valid record has
    kNotAnObject,         ///< not a JSON object
    kUnsupportedVersion,  ///< of another version of the format
    kNotANumber,          ///< a field is no number, or out of its bounds
    kUnknownZone,         ///< a zone's index that this installation does not have
    kZonesMismatch,       ///< the list of zones is missing, or of another length
    kMalformedZone,       ///< a zone's entry has the wrong form
    kUnknownState,        ///< a zone's state is none of the known ones
    kNotAList,            ///< a field is no list
    kMalformedEntry,      ///< an entry of a list of members has the wrong form
    kMalformedMatrix,     ///< a table is no list of origin, receiver and value
    kOtherEpoch,          ///< a roster that belongs to another decision
  };

  Record record = Record::kDecision;  ///< where
  Kind kind = Kind::kNotAnObject;     ///< what
  std::string field;                  ///< name of the JSON field; empty: the whole record
  std::string value;                  ///< the value that was wrong, as JSON; shortened, empty if it is absent
};

/// One line for people.
std::string Message(const ZoneFailoverError& error);

/// A value, or the reason why there is none.
template <typename T>
using Result = boost::system::result<T, ZoneFailoverError>;

/// What `Result::value()` throws for an error: std::runtime_error with its message.
[[noreturn]] inline void throw_exception_from_error(const ZoneFailoverError& error,
                                                    const boost::source_location& /*where*/) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_ERROR_H_
