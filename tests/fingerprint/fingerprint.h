// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The fingerprint of one run of a core, and its comparison with the recorded one in digests.txt.
#ifndef BADGERBRIDGE_TESTS_FINGERPRINT_FINGERPRINT_H_
#define BADGERBRIDGE_TESTS_FINGERPRINT_FINGERPRINT_H_

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include "fingerprint/digest.h"

namespace badgerbridge::fingerprint {

/// What a core did in one run from one seed. A run consists of steps (an event and what the core answers to
/// it) and is divided into ten parts, whose digests say where two runs begin to differ.
///
/// Environment variables, both for people:
///   FINGERPRINT_RECORD=1     adds the fingerprints that digests.txt lacks; it never changes one that stands
///   there FINGERPRINT_TRACE=FILE   appends a line "core seed step digest" for each step, to compare with
///   that of another
///                            build: the first line that differs is the first event with another answer
class Fingerprint {
 public:
  static constexpr std::size_t kParts = 10;  ///< Into which a run is divided that can be divided.

  /// `core` names what is tested; it has no blanks.
  Fingerprint(std::string core, std::uint64_t seed);

  /// Takes what the core gives.
  Digest& digest() { return digest_; }
  /// Ends a step.
  void EndStep();
  /// Ends a part of the run; to be called once at least, at the end.
  void EndPart();
  /// Expects, as a GoogleTest assertion, what digests.txt has for this core and seed.
  void Check() const;

  /// How many steps there were.
  std::uint64_t steps() const { return steps_; }

 private:
  std::string core_;
  std::uint64_t seed_;
  Digest digest_;
  std::vector<std::uint64_t> parts_;       // digest at the end of each part, of all before it too
  std::vector<std::uint64_t> part_steps_;  // steps until then
  std::uint64_t steps_ = 0;
  std::ofstream trace_;
};

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_FINGERPRINT_H_
