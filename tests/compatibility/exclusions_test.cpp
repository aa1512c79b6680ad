// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The file of exclusions, read and written by the program itself.
#include <gtest/gtest.h>

#include <filesystem>

#include "compatibility/sidecar_process.h"

namespace compatibility {
namespace {

const std::string kInstances = instanceAt("node-1", "127.0.0.1:1") + "," +
                               instanceAt("node 2/\xc3\xa9", "127.0.0.1:2") + "," +
                               instanceAt("node-3", "127.0.0.1:3");

TEST(ExclusionsFile, IsWrittenAsBefore) {
  const SidecarProcess sidecar(kInstances, "");
  ASSERT_TRUE(sidecar.ready());
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/exclude/node-1")), "excluded\n");
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/exclude/node%202%2f%C3%A9")), "excluded\n");
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/exclude/node-3")), "excluded\n");
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/include/node-3")), "included\n");
  const std::string text = sidecar.folder().read("ivypost-excluded.json");
  expectGolden(masked(text, "\"node-3\":1[0-9]{12}\\b", "\"node-3\":<milliseconds>"),
               "exclusions-written.json");
  EXPECT_TRUE(std::filesystem::exists(sidecar.folder().path() + "/ivypost-excluded.json.lock"));
}

// The golden file was written by 7c357c1.
TEST(ExclusionsFile, WrittenBeforeIsRead) {
  const SidecarProcess sidecar(kInstances, "");
  ASSERT_TRUE(sidecar.ready());
  sidecar.folder().write("ivypost-excluded.json", golden("exclusions-of-7c357c1.json"));
  EXPECT_TRUE(eventually([&] {
    return bodyOf(sidecar.call("POST", "/api/exclude/node%202%2f%C3%A9")) == "already excluded\n";
  }));
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/exclude/node-1")), "already excluded\n");
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/include/node-3")), "already included\n");
  EXPECT_EQ(sidecar.folder().read("ivypost-excluded.json"), golden("exclusions-of-7c357c1.json"));
}

TEST(ExclusionsFile, OfAnotherVersionIsLeftAlone) {
  SidecarProcess sidecar(kInstances, "");
  ASSERT_TRUE(sidecar.ready());
  sidecar.folder().write("ivypost-excluded.json", R"({"back":{},"out":["node-1"],"version":2})");
  EXPECT_TRUE(sidecar.process().says("the file of excluded upstreams is left alone: of another version\n"));
}

TEST(ExclusionsFile, OfAnotherVersionIsReplacedByACall) {
  SidecarProcess sidecar(kInstances, "");
  ASSERT_TRUE(sidecar.ready());
  sidecar.folder().write("ivypost-excluded.json", R"({"back":{},"out":["node-1"],"version":2})");
  EXPECT_EQ(bodyOf(sidecar.call("POST", "/api/exclude/node-3")), "excluded\n");
  EXPECT_TRUE(sidecar.process().says("the file of excluded upstreams is replaced: of another version\n"));
  EXPECT_EQ(sidecar.folder().read("ivypost-excluded.json"),
            "{\"back\":{},\"out\":[\"node-3\"],\"version\":1}\n");
}

}  // namespace
}  // namespace compatibility
