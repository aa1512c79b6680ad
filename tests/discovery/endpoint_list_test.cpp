// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/endpoint_list.h"

#include <gtest/gtest.h>

#include <string>

#include "settings/format_error.h"

namespace ivypost::discovery {
namespace {

struct AddressRow {
  const char* text;
  const char* address;  // null: the text is rejected
  int port;
};
void PrintTo(const AddressRow& row, std::ostream* out) {
  *out << '\'' << row.text << '\'';
}
class EndpointAddressTest : public testing::TestWithParam<AddressRow> {};

TEST_P(EndpointAddressTest, IsReadOrRejectedWithItsText) {
  const AddressRow& row = GetParam();
  try {
    const Endpoint endpoint = parseEndpoint(row.text);
    ASSERT_NE(row.address, nullptr) << "was taken";
    EXPECT_EQ(endpoint.address().to_string(), row.address);
    EXPECT_EQ(endpoint.port(), row.port);
  } catch (const settings::FormatError& error) {
    EXPECT_EQ(row.address, nullptr);
    EXPECT_EQ(error.what(), "not an address and port: '" + std::string(row.text) + "'");
  }
}
INSTANTIATE_TEST_SUITE_P(
    Texts, EndpointAddressTest,
    testing::Values(AddressRow{"10.0.0.4:8080", "10.0.0.4", 8080}, AddressRow{"[::1]:1", "::1", 1},
                    AddressRow{"10.0.0.4:0", "10.0.0.4", 0}, AddressRow{"10.0.0.4:65535", "10.0.0.4", 65535},
                    AddressRow{"10.0.0.4:65536", nullptr, 0}, AddressRow{"10.0.0.4:-1", nullptr, 0},
                    AddressRow{"10.0.0.4:80x", nullptr, 0}, AddressRow{"10.0.0.4:", nullptr, 0},
                    AddressRow{"10.0.0.4", nullptr, 0}, AddressRow{":8080", nullptr, 0},
                    AddressRow{"node-1:8080", nullptr, 0}, AddressRow{"[]:1", nullptr, 0},
                    AddressRow{"", nullptr, 0}));

std::string listOf(const std::string& instances, const char* reset = "true") {
  return std::string(R"({"generation":7,"reset":)") + reset + R"(,"instances":[)" + instances + "]}";
}
std::string instance(const std::string& more) {
  return R"({"instanceId":"n1","hostPort":"127.0.0.1:9","lifecycle":"up")" + more + "}";
}

TEST(EndpointList, HasWhatTheTextHas) {
  const EndpointList list = parseEndpointList(
      listOf(R"({"instanceId":"n1","hostPort":"127.0.0.1:9","lifecycle":"draining","zone":"a b",)"
             R"("machineType":"m,2","cell":3,"weight":1.5,"startedAtMs":1700000000000,"other":null})"));
  EXPECT_EQ(list.generation, 7);
  EXPECT_TRUE(list.isComplete);
  EXPECT_FALSE(list.previousUntil);
  ASSERT_EQ(list.instances.size(), 1u);
  const Instance& one = list.instances.front();
  EXPECT_EQ(one.id, "n1");
  EXPECT_EQ(one.address.port(), 9);
  EXPECT_EQ(one.zone, "a_b");
  EXPECT_EQ(one.kind, "m_2");
  EXPECT_EQ(one.cell, 3u);
  EXPECT_EQ(one.state, balancer::EndpointState::Draining);
  EXPECT_EQ(one.weight, 1.5);
  EXPECT_EQ(one.startedAt, WallTime(std::chrono::milliseconds(1'700'000'000'000)));
}

TEST(EndpointList, TakesDefaultsForWhatIsLeftOut) {
  const EndpointList list = parseEndpointList(listOf(instance("")));
  ASSERT_EQ(list.instances.size(), 1u);
  EXPECT_EQ(list.instances.front().weight, 1);
  EXPECT_EQ(list.instances.front().startedAt, WallTime());
  EXPECT_FALSE(list.instances.front().cell);
}

TEST(EndpointList, NeedsNoAddressOfAnInstanceThatIsRemoved) {
  const EndpointList list = parseEndpointList(listOf(R"({"instanceId":"n1","lifecycle":"removed"})"));
  ASSERT_EQ(list.instances.size(), 1u);
  EXPECT_EQ(list.instances.front().state, balancer::EndpointState::Gone);
}

TEST(EndpointList, MayNameAnInstanceTwiceAmongChanges) {
  const std::string twice = instance("") + "," + instance("");
  EXPECT_EQ(parseEndpointList(listOf(twice, "false")).instances.size(), 2u);
}

struct BadListRow {
  std::string text;
  const char* part;  // expected in the message
};
void PrintTo(const BadListRow& row, std::ostream* out) {
  *out << row.text;
}
class BadEndpointListTest : public testing::TestWithParam<BadListRow> {};

TEST_P(BadEndpointListTest, IsRejectedInOneLine) {
  try {
    (void)parseEndpointList(GetParam().text);
    FAIL() << "was taken";
  } catch (const settings::FormatError& error) {
    const std::string line = error.what();
    EXPECT_NE(line.find(GetParam().part), std::string::npos) << line;
    EXPECT_EQ(line.find('\n'), std::string::npos) << line;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Texts, BadEndpointListTest,
    testing::Values(
        BadListRow{"", "not JSON:"}, BadListRow{"{", "not JSON:"},
        BadListRow{"[]", "not a list of instances:"}, BadListRow{"{}", "not a list of instances:"},
        BadListRow{listOf("5"), "not a list of instances:"},
        BadListRow{listOf(instance("") + "," + instance("")), "names an instance twice: 'n1'"},
        BadListRow{listOf(R"({"instanceId":"","lifecycle":"removed"})"), "instanceId"},
        BadListRow{listOf(R"({"instanceId":"n1","lifecycle":"up"})"), "not a list of instances:"},
        BadListRow{listOf(R"({"instanceId":"n1","lifecycle":"away"})"), "unknown lifecycle 'away'"},
        BadListRow{listOf(instance(R"(,"weight":-1)")), "weight is out of range:"},
        BadListRow{listOf(instance(R"(,"weight":1000001)")), "weight is out of range:"},
        BadListRow{listOf(instance(R"(,"startedAtMs":-1)")), "startedAtMs is out of range:"},
        BadListRow{listOf(instance(R"(,"startedAtMs":9007199254741)")), "startedAtMs is out of range:"}));

}  // namespace
}  // namespace ivypost::discovery
