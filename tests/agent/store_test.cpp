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
  std::vector<std::string> Records() const { return Store(path_).TakeRecords(); }

  std::string folder_, path_;
};

// Fails the n-th call of each kind, or all from then on.
struct FailingDisk : Disk {
  int fail_write = 0, fail_sync = 0, fail_truncate = 0,
      fail_rename = 0;  // calls left before it fails; 0: never
  bool partly = false;  // the failing write leaves half of its bytes
  int error = ENOSPC;

  bool Due(int* left) { return *left > 0 && --*left == 0; }
  int Write(int file, std::string_view bytes) override {
    if (!Due(&fail_write)) return Disk::Write(file, bytes);
    if (partly) Disk::Write(file, bytes.substr(0, bytes.size() / 2));
    return error;
  }
  int Sync(int file) override { return Due(&fail_sync) ? error : Disk::Sync(file); }
  int Truncate(int file, std::uint64_t size) override {
    return Due(&fail_truncate) ? error : Disk::Truncate(file, size);
  }
  int Rename(const std::string& from, const std::string& to) override {
    return Due(&fail_rename) ? error : Disk::Rename(from, to);
  }
};

using Texts = std::vector<std::string>;

TEST_F(StoreTest, KeepsBatchesInOrder) {
  {
    Store store(path_);
    EXPECT_TRUE(store.Append({R"({"a":1})", R"({"b":2})"}));
    EXPECT_TRUE(store.Append({R"({"c":"x\ny"})"}));
    EXPECT_TRUE(store.Append({}));
  }
  EXPECT_EQ(Records(), (Texts{R"({"a":1})", R"({"b":2})", R"({"c":"x\ny"})"}));
}

TEST_F(StoreTest, ABatchTornAtAnyByteIsDroppedWhole) {
  {
    Store store(path_);
    store.Append({R"({"a":1})"});
    store.Append({R"({"b":2})", R"({"c":3})"});
  }
  const std::string whole = Read();
  const std::size_t first = whole.find('\n') + 1;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    Write(whole.substr(0, size));
    Store store(path_);
    const Texts expected = size < first ? Texts{} : Texts{R"({"a":1})"};
    EXPECT_EQ(store.TakeRecords(), expected) << size;
    EXPECT_EQ(store.dropped(), size < first ? size : size - first) << size;
    // And it goes on behind what is whole.
    const bool tried = size % 16 == 0 || size + 1 == whole.size();
    EXPECT_TRUE(!tried || store.Append({R"({"d":4})"})) << size;
  }
  EXPECT_EQ(Records().back(), R"({"d":4})");
}

TEST_F(StoreTest, DamageInTheMidstIsSaidAndNothingBehindItIsGuessed) {
  {
    Store store(path_);
    for (int i = 0; i < 3; ++i) store.Append({R"({"a":)" + std::to_string(i) + "}"});
  }
  const std::string whole = Read();
  const std::size_t first = whole.find('\n') + 1, second = whole.find('\n', first) + 1;
  for (std::size_t at = first; at < second - 1; ++at) {
    std::string spoilt = whole;
    spoilt[at] = static_cast<char>(spoilt[at] ^ 1);
    if (spoilt[at] == '\n') continue;
    Write(spoilt);
    try {
      Store store(path_);
      FAIL() << "byte " << at;
    } catch (const BadStore& bad) {
      EXPECT_NE(std::string(bad.what()).find("damaged from byte " + std::to_string(first)), std::string::npos)
          << bad.what();
    }
    EXPECT_EQ(Read(), spoilt) << "nothing is lost by refusing";
  }
}

TEST_F(StoreTest, WhatTheDiskRefusesIsNotThereAndTheNextTryIs) {
  for (const bool partly : {false, true}) {
    for (const char* which : {"write", "sync"}) {
      std::filesystem::remove(path_);
      const auto disk = std::make_shared<FailingDisk>();
      {
        Store store(path_, disk);
        ASSERT_TRUE(store.Append({R"({"a":1})"}));
        (which[0] == 'w' ? disk->fail_write : disk->fail_sync) = 1;
        disk->partly = partly;
        EXPECT_FALSE(store.Append({R"({"lost":1})"}));
        EXPECT_NE(store.error().find("No space left"), std::string::npos) << store.error();
        EXPECT_TRUE(store.Append({R"({"b":2})"}));
        EXPECT_EQ(store.error(), "");
      }
      EXPECT_EQ(Records(), (Texts{R"({"a":1})", R"({"b":2})"})) << which << partly;
    }
  }
}

TEST_F(StoreTest, HalfAWriteThatCannotBeCutOffIsCutOffBeforeTheNext) {
  const auto disk = std::make_shared<FailingDisk>();
  {
    Store store(path_, disk);
    ASSERT_TRUE(store.Append({R"({"a":1})"}));
    disk->fail_write = 1;
    disk->partly = true;
    disk->fail_truncate = 1;
    EXPECT_FALSE(store.Append({R"({"lost":1})"}));
    disk->fail_truncate = 1;
    EXPECT_FALSE(store.Append({R"({"lost":2})"}));
    EXPECT_TRUE(store.Append({R"({"b":2})"}));
  }
  EXPECT_EQ(Records(), (Texts{R"({"a":1})", R"({"b":2})"}));
}

TEST_F(StoreTest, CompactionIsAllOrNothing) {
  const auto disk = std::make_shared<FailingDisk>();
  {
    Store store(path_, disk);
    store.Append({R"({"a":1})"});
    for (int* which : {&disk->fail_write, &disk->fail_sync, &disk->fail_rename}) {
      *which = 1;
      EXPECT_FALSE(store.Compact({R"({"new":1})"}));
      EXPECT_FALSE(std::filesystem::exists(path_ + ".new"));
    }
    EXPECT_TRUE(store.Append({R"({"b":2})"}));
  }
  EXPECT_EQ(Records().size(), 2u);
  {
    Store store(path_, disk);
    EXPECT_TRUE(store.Compact({R"({"all":1})"}));
    EXPECT_TRUE(store.Append({R"({"c":3})"}));
    EXPECT_THROW(Store second(path_), BadStore) << "the new file is locked as the old one was";
  }
  EXPECT_EQ(Records(), (Texts{R"({"all":1})", R"({"c":3})"}));
}

TEST_F(StoreTest, GrowsUntilItWantsCompaction) {
  Store store(path_);
  const std::string record = "\"" + std::string(65536, 'x') + "\"";
  int appended = 0;
  while (!store.WantsCompaction() && appended < 1000) store.Append({record}), ++appended;
  EXPECT_GT(appended, 12);
  EXPECT_LT(appended, 20);
  EXPECT_TRUE(store.Compact({record}));
  EXPECT_FALSE(store.WantsCompaction());
  EXPECT_LT(store.size(), 70000u);
}

TEST_F(StoreTest, TwoAgentsNeverShareOne) {
  Store store(path_);
  EXPECT_THROW(Store second(path_), BadStore);
}

TEST_F(StoreTest, WhatCannotBeOpenedIsOneLine) {
  EXPECT_THROW(Store store(folder_ + "/no/such/state"), BadStore);
  EXPECT_THROW(Store store(folder_), BadStore);
}

TEST_F(StoreTest, ARealFullDiskIsRefusedAndRecoveredFrom) {
  // /dev/full takes nothing: a write to it fails with ENOSPC.
  const int full = open("/dev/full", O_WRONLY);
  if (full < 0) GTEST_SKIP() << "no /dev/full here";
  Disk disk;
  EXPECT_EQ(disk.Write(full, "x"), ENOSPC);
  close(full);
}

TEST_F(StoreTest, TheAuditLogIsBounded) {
  const std::string path = folder_ + "/audit.log";
  AuditLog audit(path, 100, 3);
  for (int i = 0; i < 80; ++i) ASSERT_TRUE(audit.Add({"line " + std::to_string(i)}));
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
