// SPDX-License-Identifier: Apache-2.0
#include "agent/store.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "agent/audit_log.h"

namespace badgerbridge::agent {
namespace {

class StoreTest : public ::testing::Test {
 protected:
  StoreTest() {
    folder_ = ::testing::TempDir() + "store_XXXXXX";
    EXPECT_NE(mkdtemp(folder_.data()), nullptr);
    path_ = folder_ + "/state";
  }
  ~StoreTest() override { std::filesystem::remove_all(folder_); }

  std::string Read() const {
    std::ifstream in(path_, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }
  void Write(const std::string& text) const {
    std::ofstream(path_, std::ios::binary | std::ios::trunc) << text;
  }
  /// Opens the store at path_; throws, and so fails the test, on an error.
  Store Open(std::shared_ptr<Disk> disk = std::make_shared<Disk>()) const {
    return Store::Open(path_, std::move(disk)).value();
  }
  std::vector<std::string> Records() const { return Open().TakeRecords(); }

  std::string folder_, path_;
};

/// Fails one call of a kind after a number of successful ones.
struct FailingDisk : Disk {
  // The number of the call that fails, counted from the next one; 0: none.
  int fail_write = 0;
  int fail_sync = 0;
  int fail_truncate = 0;
  int fail_rename = 0;
  bool writes_half = false;  // the failing write writes half of its bytes

  static std::error_code Error() { return {ENOSPC, std::generic_category()}; }
  static bool IsDue(int* left) { return *left > 0 && --*left == 0; }
  std::error_code Write(int file, std::string_view bytes) override {
    if (!IsDue(&fail_write)) return Disk::Write(file, bytes);
    if (writes_half) Disk::Write(file, bytes.substr(0, bytes.size() / 2));
    return Error();
  }
  std::error_code Sync(int file) override { return IsDue(&fail_sync) ? Error() : Disk::Sync(file); }
  std::error_code Truncate(int file, std::uint64_t size) override {
    return IsDue(&fail_truncate) ? Error() : Disk::Truncate(file, size);
  }
  std::error_code Rename(const std::string& from, const std::string& to) override {
    return IsDue(&fail_rename) ? Error() : Disk::Rename(from, to);
  }
};

using Texts = std::vector<std::string>;

TEST_F(StoreTest, KeepsBatchesInOrder) {
  {
    Store store = Open();
    EXPECT_TRUE(store.Append({R"({"a":1})", R"({"b":2})"}).has_value());
    EXPECT_TRUE(store.Append({R"({"c":"x\ny"})"}).has_value());
    EXPECT_TRUE(store.Append({}).has_value());
  }
  EXPECT_EQ(Records(), (Texts{R"({"a":1})", R"({"b":2})", R"({"c":"x\ny"})"}));
}

TEST_F(StoreTest, TornLastBatchIsDroppedWhole) {
  {
    Store store = Open();
    store.Append({R"({"a":1})"});
    store.Append({R"({"b":2})", R"({"c":3})"});
  }
  const std::string intact = Read();
  const std::size_t first = intact.find('\n') + 1;
  for (std::size_t size = 0; size < intact.size(); ++size) {
    Write(intact.substr(0, size));
    Store store = Open();
    const Texts expected = size < first ? Texts{} : Texts{R"({"a":1})"};
    EXPECT_EQ(store.TakeRecords(), expected) << size;
    EXPECT_EQ(store.dropped_bytes(), size < first ? size : size - first) << size;
    // Later batches are appended after the intact ones.
    const bool appends = size % 16 == 0 || size + 1 == intact.size();
    EXPECT_TRUE(!appends || store.Append({R"({"d":4})"}).has_value()) << size;
  }
  EXPECT_EQ(Records().back(), R"({"d":4})");
}

TEST_F(StoreTest, DamageBeforeIntactBatchesFailsTheOpen) {
  {
    Store store = Open();
    for (int i = 0; i < 3; ++i) store.Append({R"({"a":)" + std::to_string(i) + "}"});
  }
  const std::string intact = Read();
  const std::size_t first = intact.find('\n') + 1, second = intact.find('\n', first) + 1;
  for (std::size_t at = first; at < second - 1; ++at) {
    std::string damaged = intact;
    damaged[at] = static_cast<char>(damaged[at] ^ 1);
    if (damaged[at] == '\n') continue;
    Write(damaged);
    const Result<Store> store = Store::Open(path_);
    if (store) FAIL() << "byte " << at;
    EXPECT_EQ(store.error().kind, AgentErrorKind::kStoreDamaged);
    EXPECT_NE(Message(store.error()).find("damaged from byte " + std::to_string(first)), std::string::npos)
        << Message(store.error());
    EXPECT_EQ(Read(), damaged) << "a failed open does not modify the file";
  }
}

TEST_F(StoreTest, FailedAppendStoresNothingAndTheNextSucceeds) {
  for (const bool writes_half : {false, true}) {
    for (const char* which : {"write", "sync"}) {
      std::filesystem::remove(path_);
      const auto disk = std::make_shared<FailingDisk>();
      {
        Store store = Open(disk);
        ASSERT_TRUE(store.Append({R"({"a":1})"}).has_value());
        (which[0] == 'w' ? disk->fail_write : disk->fail_sync) = 1;
        disk->writes_half = writes_half;
        EXPECT_FALSE(store.Append({R"({"lost":1})"}).has_value());
        ASSERT_TRUE(store.last_error());
        EXPECT_NE(Message(*store.last_error()).find("No space left"), std::string::npos)
            << Message(*store.last_error());
        EXPECT_TRUE(store.Append({R"({"b":2})"}).has_value());
        EXPECT_FALSE(store.last_error());
      }
      EXPECT_EQ(Records(), (Texts{R"({"a":1})", R"({"b":2})"})) << which << writes_half;
    }
  }
}

TEST_F(StoreTest, TornEndIsCutBeforeTheNextAppend) {
  const auto disk = std::make_shared<FailingDisk>();
  {
    Store store = Open(disk);
    ASSERT_TRUE(store.Append({R"({"a":1})"}).has_value());
    disk->fail_write = 1;
    disk->writes_half = true;
    disk->fail_truncate = 1;
    EXPECT_FALSE(store.Append({R"({"lost":1})"}).has_value());
    disk->fail_truncate = 1;
    EXPECT_FALSE(store.Append({R"({"lost":2})"}).has_value());
    EXPECT_TRUE(store.Append({R"({"b":2})"}).has_value());
  }
  EXPECT_EQ(Records(), (Texts{R"({"a":1})", R"({"b":2})"}));
}

TEST_F(StoreTest, FailedCompactionKeepsTheOldFile) {
  const auto disk = std::make_shared<FailingDisk>();
  {
    Store store = Open(disk);
    store.Append({R"({"a":1})"});
    for (int* which : {&disk->fail_write, &disk->fail_sync, &disk->fail_rename}) {
      *which = 1;
      EXPECT_FALSE(store.Compact({R"({"new":1})"}).has_value());
      EXPECT_FALSE(std::filesystem::exists(path_ + ".new"));
    }
    EXPECT_TRUE(store.Append({R"({"b":2})"}).has_value());
  }
  EXPECT_EQ(Records().size(), 2u);
  {
    Store store = Open(disk);
    EXPECT_TRUE(store.Compact({R"({"all":1})"}).has_value());
    EXPECT_TRUE(store.Append({R"({"c":3})"}).has_value());
    EXPECT_EQ(Store::Open(path_).error().kind, AgentErrorKind::kStoreInUse)
        << "the new file must be locked like the old one";
  }
  EXPECT_EQ(Records(), (Texts{R"({"all":1})", R"({"c":3})"}));
}

TEST_F(StoreTest, GrownFileNeedsCompaction) {
  Store store = Open();
  const std::string record = "\"" + std::string(65536, 'x') + "\"";
  int appended = 0;
  while (!store.NeedsCompaction() && appended < 1000) {
    EXPECT_TRUE(store.Append({record}).has_value());
    ++appended;
  }
  EXPECT_GT(appended, 12);
  EXPECT_LT(appended, 20);
  EXPECT_TRUE(store.Compact({record}).has_value());
  EXPECT_FALSE(store.NeedsCompaction());
  EXPECT_LT(store.size(), 70000u);
}

TEST_F(StoreTest, SecondOpenFailsAsInUse) {
  Store store = Open();
  EXPECT_EQ(Store::Open(path_).error().kind, AgentErrorKind::kStoreInUse);
}

TEST_F(StoreTest, UnopenablePathFails) {
  EXPECT_EQ(Store::Open(folder_ + "/no/such/state").error().kind, AgentErrorKind::kStoreIo);
  EXPECT_EQ(Store::Open(folder_).error().kind, AgentErrorKind::kStoreIo);
}

TEST_F(StoreTest, FullDeviceFailsTheWrite) {
  // Every write to /dev/full fails with ENOSPC.
  const FileDescriptor full(open("/dev/full", O_WRONLY));
  if (!full.is_open()) GTEST_SKIP() << "no /dev/full here";
  Disk disk;
  EXPECT_EQ(disk.Write(full.get(), "x").value(), ENOSPC);
}

TEST_F(StoreTest, AuditLogIsRotatedAndBounded) {
  const std::string path = folder_ + "/audit.log";
  AuditLog audit(path, 100, 3);
  for (int i = 0; i < 80; ++i) ASSERT_TRUE(audit.Append({"line " + std::to_string(i)}).has_value());
  std::uintmax_t total = 0;
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
    total += entry.file_size();
    ++files;
  }
  EXPECT_EQ(files, 4);
  EXPECT_LT(total, 450u);
  std::ifstream newest(path);
  std::string line, last;
  while (std::getline(newest, line)) last = line;
  EXPECT_EQ(last, "line 79");
}

}  // namespace
}  // namespace badgerbridge::agent
