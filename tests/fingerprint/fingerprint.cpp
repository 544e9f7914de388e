// SPDX-License-Identifier: Apache-2.0
#include "fingerprint/fingerprint.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>

namespace badgerbridge::fingerprint {
namespace {

constexpr char kRecordedFile[] = SOURCE_DIR "/tests/fingerprint/digests.txt";

std::string Hex(std::uint64_t value) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << value;
  return text.str();
}

/// A part's digest is shortened in the file: it only locates a difference that the whole digest has found.
std::string ShortHex(std::uint64_t value) { return Hex(value).substr(8); }

/// A line of digests.txt.
struct RecordedLine {
  std::string digest;              ///< Of the whole run.
  std::vector<std::string> parts;  ///< Of the parts before the last.
};

std::optional<RecordedLine> FindRecorded(const std::string& core, std::uint64_t seed) {
  std::ifstream file(kRecordedFile);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string line_core;
    std::string line_seed;
    fields >> line_core >> line_seed;
    if (line_core != core || line_seed != std::to_string(seed)) continue;
    RecordedLine recorded;
    fields >> recorded.digest;
    std::string part;
    while (fields >> part) recorded.parts.push_back(part);
    return recorded;
  }
  return std::nullopt;
}

}  // namespace

Fingerprint::Fingerprint(std::string core, std::uint64_t seed) : core_(std::move(core)), seed_(seed) {
  if (const char* path = std::getenv("FINGERPRINT_TRACE")) trace_.open(path, std::ios::app);
}

void Fingerprint::EndStep() {
  ++steps_;
  if (trace_.is_open())
    trace_ << core_ << ' ' << seed_ << ' ' << steps_ << ' ' << Hex(digest_.value()) << '\n';
}

void Fingerprint::EndPart() {
  parts_.push_back(digest_.value());
  part_steps_.push_back(steps_);
}

void Fingerprint::Check() const {
  ASSERT_FALSE(parts_.empty());
  const auto recorded = FindRecorded(core_, seed_);
  if (!recorded && std::getenv("FINGERPRINT_RECORD")) {
    std::ofstream file(kRecordedFile, std::ios::app);
    file << core_ << ' ' << seed_ << ' ' << Hex(parts_.back());
    for (std::size_t part = 0; part + 1 < parts_.size(); ++part) file << ' ' << ShortHex(parts_[part]);
    file << '\n';
    ASSERT_TRUE(file.flush()) << kRecordedFile;
    return;
  }
  ASSERT_TRUE(recorded) << "nothing recorded for " << core_ << " with seed " << seed_;
  if (recorded->digest == Hex(parts_.back())) return;
  ASSERT_EQ(recorded->parts.size() + 1, parts_.size()) << kRecordedFile;
  std::size_t part = 0;
  while (part + 1 < parts_.size() && recorded->parts[part] == ShortHex(parts_[part])) ++part;
  ADD_FAILURE() << core_ << " with seed " << seed_ << " does something else than recorded: digest "
                << Hex(parts_.back()) << " instead of " << recorded->digest << ", first in part " << part + 1
                << " of " << parts_.size() << ", after step " << (part == 0 ? 0 : part_steps_[part - 1])
                << " and not after step " << part_steps_[part]
                << ". FINGERPRINT_TRACE (see fingerprint.h) finds the step.";
}

}  // namespace badgerbridge::fingerprint
