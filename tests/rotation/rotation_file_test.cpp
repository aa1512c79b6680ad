// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The file of excluded upstreams: two processes, and all that can be wrong with a file.
#include "rotation/rotation_file.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <vector>

namespace ivypost::rotation {
namespace {

class RotationFileTest : public testing::Test {
 protected:
  RotationFileTest() {
    std::string name = testing::TempDir() + "rotation-XXXXXX";
    EXPECT_NE(mkdtemp(name.data()), nullptr);
    folder = name;
  }
  ~RotationFileTest() override { std::filesystem::remove_all(folder); }

  RotationFile file() {
    return {folder, [this](const std::string& line) { lines.push_back(line); }};
  }
  std::string path() const { return folder + "/ivypost-excluded.json"; }
  void write(const std::string& text) const { std::ofstream(path(), std::ios::binary) << text; }
  static bool exclude(RotationFile& file, Rotation& rotation, const std::string& id) {
    std::string why;
    return file.change(
        rotation, [&](Rotation& one) { one.exclude(id); }, why);
  }

  std::string folder;
  std::vector<std::string> lines;
};

TEST_F(RotationFileTest, TheOtherProcessHearsOfAChange) {
  RotationFile mine = file();
  RotationFile yours = file();
  EXPECT_FALSE(yours.read());
  Rotation rotation;
  ASSERT_TRUE(exclude(mine, rotation, "a"));
  EXPECT_FALSE(mine.read()) << "its own change is no news";
  const auto heard = yours.read();
  ASSERT_TRUE(heard);
  EXPECT_TRUE(heard->isOut("a"));
  EXPECT_FALSE(yours.read());
}

// Each changes what the other has written, and not what it remembers.
TEST_F(RotationFileTest, ChangesOfTwoProcessesAddUp) {
  RotationFile mine = file();
  RotationFile yours = file();
  Rotation a, b;
  ASSERT_TRUE(exclude(mine, a, "a"));
  ASSERT_TRUE(exclude(yours, b, "b"));
  EXPECT_TRUE(b.isOut("a"));
  EXPECT_TRUE(mine.read()->isOut("b"));
}

TEST_F(RotationFileTest, BadFilesAreLoggedOnceAndReplacedByTheNextChange) {
  for (const char* text :
       {"", "{\"version\":1,\"out\":[\"a\"", "garbage", "{\"version\":9,\"out\":[],\"back\":{}}"}) {
    lines.clear();
    write(text);
    RotationFile mine = file();
    EXPECT_FALSE(mine.read());
    EXPECT_FALSE(mine.read());
    EXPECT_EQ(lines.size(), 1U) << text;
    Rotation rotation;
    rotation.exclude("kept");
    ASSERT_TRUE(exclude(mine, rotation, "b"));
    const auto read = file().read();
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->isOut("kept")) << "what the process had stays";
    EXPECT_TRUE(read->isOut("b"));
  }
  lines.clear();
  write(std::string(3'000'000, ' '));
  EXPECT_FALSE(file().read());
  EXPECT_EQ(lines.size(), 1U);
}

TEST_F(RotationFileTest, WhatCannotBeKeptIsANo) {
  Rotation rotation;
  std::string why;
  RotationFile nowhere(folder + "/missing", [](const std::string&) {});
  EXPECT_FALSE(exclude(nowhere, rotation, "a"));
  RotationFile none("", [](const std::string&) {});
  EXPECT_FALSE(exclude(none, rotation, "a"));
  EXPECT_FALSE(none.read());
  // A full disk looks so: the file to be written can't be.
  std::filesystem::create_directory(path() + ".new");
  RotationFile full = file();
  EXPECT_FALSE(full.change(
      rotation, [](Rotation& one) { one.exclude("a"); }, why));
  EXPECT_NE(why.find("can't be kept"), std::string::npos);
  EXPECT_EQ(why.find('\n'), std::string::npos);
  EXPECT_FALSE(rotation.isOut("a"));
}

// A process that stands still with the lock held must not hold up this one's loop.
TEST_F(RotationFileTest, ALockThatStaysHeldIsANo) {
  const int held = open((path() + ".lock").c_str(), O_RDWR | O_CREAT, 0600);
  ASSERT_GE(held, 0);
  ASSERT_EQ(flock(held, LOCK_EX), 0);
  RotationFile mine = file();
  Rotation rotation;
  EXPECT_FALSE(exclude(mine, rotation, "a"));
  close(held);
  EXPECT_TRUE(exclude(mine, rotation, "a"));
}

}  // namespace
}  // namespace ivypost::rotation
