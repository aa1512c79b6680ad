// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/options.h"

#include <gtest/gtest.h>

#include "discovery/etcd/instance_entry.h"
#include "discovery/etcd/messages.h"

namespace ivypost::discovery::etcd {
namespace {

struct TargetRow {
  const char* text;
  const char* host;  // null: the endpoint is rejected
  int port;
  bool tls, isName;
};
class TargetTest : public testing::TestWithParam<TargetRow> {};
TEST_P(TargetTest, IsReadOrNot) {
  const auto& row = GetParam();
  const auto target = parseTarget(row.text);
  ASSERT_EQ(target.has_value(), row.host != nullptr) << row.text;
  if (!target) return;
  EXPECT_EQ(target->host, row.host);
  EXPECT_EQ(target->port, row.port);
  EXPECT_EQ(target->tls, row.tls);
  EXPECT_EQ(target->isName, row.isName);
}
INSTANTIATE_TEST_SUITE_P(Targets, TargetTest,
                         testing::Values(TargetRow{"http://10.0.0.4:2379", "10.0.0.4", 2379, false, false},
                                         TargetRow{"https://10.0.0.4:2379", "10.0.0.4", 2379, true, false},
                                         TargetRow{"10.0.0.4:2379", "10.0.0.4", 2379, false, false},
                                         TargetRow{"https://[::1]:1", "::1", 1, true, false},
                                         TargetRow{"http://etcd-1.internal:2379", "etcd-1.internal", 2379,
                                                   false, true},
                                         TargetRow{"http://[etcd]:2379", nullptr, 0, false, false},
                                         TargetRow{"http://::1:2379", nullptr, 0, false, false},
                                         TargetRow{"http://10.0.0.4", nullptr, 0, false, false},
                                         TargetRow{"http://10.0.0.4:0", nullptr, 0, false, false},
                                         TargetRow{"http://10.0.0.4:65536", nullptr, 0, false, false},
                                         TargetRow{"http://10.0.0.4:2379/", nullptr, 0, false, false},
                                         TargetRow{"ftp://10.0.0.4:2379", nullptr, 0, false, false},
                                         TargetRow{"http://:2379", nullptr, 0, false, false},
                                         TargetRow{"http://a b:2379", nullptr, 0, false, false},
                                         TargetRow{"", nullptr, 0, false, false}));

struct FlawRow {
  const char* part;  // expected in the message; empty: the options are valid
  void (*change)(Options&);
};
class FlawTest : public testing::TestWithParam<FlawRow> {};
TEST_P(FlawTest, IsOneLineThatNamesTheKey) {
  Options options;
  options.endpoints = {"http://10.0.0.4:2379"};
  GetParam().change(options);
  const std::string flaw = flawOf(options).value_or("");
  if (*GetParam().part == '\0') {
    EXPECT_EQ(flaw, "");
  } else {
    EXPECT_NE(flaw.find(GetParam().part), std::string::npos) << flaw;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Flaws, FlawTest,
    testing::Values(
        FlawRow{"", [](Options&) {}}, FlawRow{"endpoints", [](Options& o) { o.endpoints.clear(); }},
        FlawRow{"endpoints", [](Options& o) { o.endpoints.assign(kMaxEndpoints + 1, o.endpoints[0]); }},
        FlawRow{"", [](Options& o) { o.endpoints.assign(kMaxEndpoints, o.endpoints[0]); }},
        FlawRow{"not like", [](Options& o) { o.endpoints = {"nowhere"}; }},
        FlawRow{"no DNS", [](Options& o) { o.endpoints = {"http://etcd:2379"}; }},
        FlawRow{"", [](Options& o) { o.endpoints = {"http://etcd:2379"}, o.names = true; }},
        FlawRow{"prefix", [](Options& o) { o.prefix = "ivypost"; }},
        FlawRow{"prefix", [](Options& o) { o.prefix = "/ivypost/"; }},
        FlawRow{"service", [](Options& o) { o.service = "a/b"; }},
        FlawRow{"service", [](Options& o) { o.service = ""; }},
        FlawRow{"password_file", [](Options& o) { o.user = "reader"; }},
        FlawRow{"certificate", [](Options& o) { o.endpoints = {"https://10.0.0.4:1"}, o.key = "k.pem"; }},
        FlawRow{"https", [](Options& o) { o.ca = "ca.pem"; }},
        FlawRow{"", [](Options& o) { o.endpoints = {"https://10.0.0.4:1"}, o.ca = "ca.pem"; }},
        FlawRow{"max_backoff", [](Options& o) { o.maxBackoff = o.backoff - 1; }},
        FlawRow{"call_timeout", [](Options& o) { o.callTimeout = 11 * o.audit; }}));

TEST(PrefixEnd, IsThePrefixWithItsLastByteRaised) {
  EXPECT_EQ(prefixEnd("/a/"), "/a0");
  EXPECT_EQ(prefixEnd("a\xff"), "b");
  EXPECT_EQ(prefixEnd("\xff\xff"), std::string(1, '\0'));
}

TEST(Keys, NameAnInstanceOrNot) {
  EXPECT_EQ(instanceIdOf("/p/s/", "/p/s/n1").value_or("none"), "n1");
  for (const char* const key : {"/p/s/", "/p/s", "/p/t/n1", "/p/s/a/b", "/p/s/a\n"})
    EXPECT_FALSE(instanceIdOf("/p/s/", key)) << key;
  EXPECT_TRUE(instanceIdOf("/p/s/", "/p/s/" + std::string(kMaxId, 'a')));
  EXPECT_FALSE(instanceIdOf("/p/s/", "/p/s/" + std::string(kMaxId + 1, 'a')));
}

}  // namespace
}  // namespace ivypost::discovery::etcd
