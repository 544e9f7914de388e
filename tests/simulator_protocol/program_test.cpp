// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge_drill as a process: frames in, frames out, exit codes, warnings.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "sample_settings.h"
#include "simulator_protocol/hex.h"

namespace badgerbridge::balancer {
namespace {

using testing::Hex;

/// What came of one run of the program.
struct ProcessRun {
  int exit_code = -1;  // -1: it was not run, or did not exit by itself
  std::string output;
  std::string errors;
};

/// A directory for the program's input and output, removed with what is in it.
class ScratchDirectory {
 public:
  ScratchDirectory() : path_(::testing::TempDir() + "badgerbridge_drill_XXXXXX") {
    if (mkdtemp(path_.data()) == nullptr) path_.clear();
  }
  ~ScratchDirectory() {
    if (!path_.empty()) std::filesystem::remove_all(path_);
  }
  ScratchDirectory(const ScratchDirectory&) = delete;
  ScratchDirectory& operator=(const ScratchDirectory&) = delete;

  bool exists() const { return !path_.empty(); }
  std::string Path(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs the program with `input` on its standard input.
ProcessRun RunDrill(const std::string& input) {
  const ScratchDirectory directory;
  if (!directory.exists()) return {};
  std::ofstream(directory.Path("in"), std::ios::binary) << input;
  const std::string command = std::string(DRILL_PATH) + " <" + directory.Path("in") + " >" +
                              directory.Path("out") + " 2>" + directory.Path("err");
  const int status = std::system(command.c_str());
  ProcessRun run;
  run.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  run.output = ReadWholeFile(directory.Path("out"));
  run.errors = ReadWholeFile(directory.Path("err"));
  return run;
}

/// A number in four bytes.
std::string LittleEndian(std::size_t value) {
  std::string bytes;
  for (int i = 0; i < 4; ++i) bytes += static_cast<char>(value >> (8 * i));
  return bytes;
}

/// A frame at 8,412.25 ms with `count` records.
std::string Frame(std::size_t count, const std::string& records) {
  return Hex("00000000206ec040") + LittleEndian(records.size() + 4) + LittleEndian(count) + records;
}

/// A record that creates instance 3.
std::string CreateRecord(const std::string& config) {
  return Hex("10") + LittleEndian(16 + config.size()) + Hex("03000000 0100000000000000") +
         LittleEndian(config.size()) + config;
}

long CountLines(const std::string& text) { return std::count(text.begin(), text.end(), '\n'); }

TEST(DrillProgram, EndOfInputBetweenFrames_ExitsWithZero) {
  EXPECT_EQ(RunDrill("").exit_code, 0);
  const ProcessRun run = RunDrill(Frame(0, ""));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(run.output, Hex("00000000"));
  EXPECT_EQ(run.errors, "");
}

TEST(DrillProgram, MalformedInput_OneLineAndFailure) {
  for (const std::string& input :
       {Hex("0000"), Hex("0000000000000000 ffffffff 00000000"), Frame(1, Hex("19 ff000000 03000000")),
        Frame(1, Hex("12 04000000 03000000"))}) {
    const ProcessRun run = RunDrill(input);
    EXPECT_NE(run.exit_code, 0);
    EXPECT_EQ(CountLines(run.errors), 1) << run.errors;
  }
}

TEST(DrillProgram, UnknownCodeTwice_OneWarning) {
  const ProcessRun run = RunDrill(Frame(2, Hex("63 02000000 ffff 63 00000000")));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(CountLines(run.errors), 1) << run.errors;
}

TEST(DrillProgram, EventForInstanceThatIsNotLive_IgnoredWithWarning) {
  const ProcessRun run = RunDrill(Frame(1, Hex("16 0c000000 09000000 4d00000000000000")));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(run.output, Hex("00000000"));
  EXPECT_NE(run.errors.find('9'), std::string::npos);
}

TEST(DrillProgram, BadSettings_InternalErrorNamesTheKey) {
  const ProcessRun run = RunDrill(Frame(1, CreateRecord("balancers=minus one\n")));
  EXPECT_EQ(run.exit_code, 0);
  ASSERT_GT(run.output.size(), 5u);
  EXPECT_EQ(run.output[4], 0x15);
  EXPECT_NE(run.output.find("balancers"), std::string::npos);
}

TEST(DrillProgram, ListAndRequest_DispatchedAndSubscribed) {
  const std::string list =
      Hex("11 24000000 03000000 02 01000000 01000000"
          "074a1203 0000 0000 0000 01 0000803f 0000000000000000");
  const std::string submit =
      Hex("12 2a000000 03000000 c4913a5dc9090800 0000000020e6c040 0000 0100"
          "640ad2557c3bf091 0000 0000000000002840");
  const ProcessRun run = RunDrill(Frame(3, CreateRecord(testing::kSampleSettings) + list + submit));
  EXPECT_EQ(run.exit_code, 0) << run.errors;
  EXPECT_NE(run.output.find(Hex("1b 18000000 03000000 c4913a5dc9090800")), std::string::npos);
  EXPECT_NE(run.output.find(Hex("12 05000000 03000000 01")), std::string::npos)
      << "asks for the list where it must";
}

TEST(DrillProgram, EventAfterCrash_IgnoredWithWarning) {
  const ProcessRun run =
      RunDrill(Frame(3, CreateRecord(testing::kSampleSettings) + Hex("19 04000000 03000000") +
                            Hex("16 0c000000 03000000 4d00000000000000")));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_NE(run.errors, "");
}

}  // namespace
}  // namespace badgerbridge::balancer
