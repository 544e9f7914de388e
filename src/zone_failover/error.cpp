// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/error.h"

namespace badgerbridge::zone_failover {
namespace {

using Kind = ZoneFailoverError::Kind;
using Record = ZoneFailoverError::Record;

const char* NameOf(Record record) {
  switch (record) {
    case Record::kLoadReport:
      return "load report";
    case Record::kDecision:
      return "decision";
    case Record::kRoster:
      return "roster";
  }
  return "record";
}

std::string NotANumber(const ZoneFailoverError& error) {
  if (error.record != Record::kDecision) return error.field + " is no number";
  return "epoch, admitted and counted are no numbers";
}

std::string MalformedZone(const ZoneFailoverError& error) {
  if (!error.field.empty()) return "a zone holds what is no number";
  return error.record == Record::kLoadReport ? "a zone is no list of seven numbers" : "a zone is no object";
}

}  // namespace

std::string Message(const ZoneFailoverError& error) {
  switch (error.kind) {
    case Kind::kTooLong:
      return std::string("longer than any ") + NameOf(error.record) + " is";
    case Kind::kNotAnObject:
      return "no JSON object";
    case Kind::kUnsupportedVersion:
      return "not of version 1";
    case Kind::kNotANumber:
      return NotANumber(error);
    case Kind::kUnknownZone:
      return error.field + " is none of this installation";
    case Kind::kZonesMismatch:
      return "zones are not those of this installation";
    case Kind::kMalformedZone:
      return MalformedZone(error);
    case Kind::kUnknownState:
      return "a zone's state is not known";
    case Kind::kNotAList:
      return error.field + " is no list";
    case Kind::kMalformedEntry:
      return error.field + " holds what is no name with its " +
             (error.record == Record::kRoster ? "zone" : "revision");
    case Kind::kMalformedMatrix:
      return "grants, ceiling or standby is no list of origin, receiver and work a ms";
    case Kind::kOtherEpoch:
      return "of another epoch than the decision";
  }
  return "not known";
}

}  // namespace badgerbridge::zone_failover
