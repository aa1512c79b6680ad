// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/key_mirror.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ivypost::discovery::etcd {
namespace {

using Comparison = KeyMirror::Comparison;

Event put(const std::string& id, Revision revision) {
  Event event;
  event.kv.key = "/p/s/" + id;
  event.kv.value = R"({"hostPort":"127.0.0.1:9","lifecycle":"up"})";
  event.kv.createRevision = revision;
  event.kv.modRevision = revision;
  return event;
}

class KeyMirrorTest : public testing::Test {
 protected:
  std::vector<std::string> lines;
  KeyMirror mirror{"/p/s/", [this](std::string line) { lines.push_back(std::move(line)); }};
};

TEST_F(KeyMirrorTest, ComparesWithTheStateAtTheRevisionThatIsAskedFor) {
  mirror.replace({7, 1, 10}, {put("n1", 4).kv});
  EXPECT_TRUE(mirror.apply({put("n2", 12)}).isNew);
  EXPECT_EQ(mirror.compare({9, 1, 4}), Comparison::Unknown) << "before the list";
  EXPECT_EQ(mirror.compare({10, 1, 4}), Comparison::Equal);
  EXPECT_EQ(mirror.compare({11, 1, 4}), Comparison::Equal) << "nothing changed at 11";
  EXPECT_EQ(mirror.compare({11, 2, 11}), Comparison::Different);
  EXPECT_EQ(mirror.compare({12, 2, 12}), Comparison::Equal);
  EXPECT_EQ(mirror.compare({20, 2, 12}), Comparison::Equal);
}

TEST_F(KeyMirrorTest, ForgetsTheOldestStateBeyondItsBound) {
  mirror.replace({7, 1, 1}, {});
  Revision revision = 1;
  while (revision < static_cast<Revision>(KeyMirror::kMaxHistory)) {
    ++revision;
    ASSERT_TRUE(mirror.apply({put("n1", revision)}).isNew);
  }
  EXPECT_EQ(mirror.compare({1, 0, 0}), Comparison::Equal) << "the history holds kMaxHistory states";
  ASSERT_TRUE(mirror.apply({put("n1", revision + 1)}).isNew);
  EXPECT_EQ(mirror.compare({1, 0, 0}), Comparison::Unknown) << "the oldest state was dropped";
  EXPECT_EQ(mirror.compare({2, 1, 2}), Comparison::Equal) << "the next state is kept";
}

TEST_F(KeyMirrorTest, CutsTextsFromOutsideForTheLog) {
  EXPECT_EQ(printable("a\nb\x7f"), "a?b?");
  EXPECT_EQ(printable(std::string(120, 'x')), std::string(120, 'x'));
  EXPECT_EQ(printable(std::string(121, 'x')), std::string(120, 'x') + "...");
}

}  // namespace
}  // namespace ivypost::discovery::etcd
