// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The bytes that sidecars send each other, as 7c357c1 encoded them. A rename of a field touches the builders
// and printers here alone; the golden files hold the bytes.
#include <gtest/gtest.h>

#include <sstream>

#include "compatibility/support.h"
#include "gossip/entry_codec.h"
#include "gossip/message.h"
#include "gossip/seal.h"
#include "health_reports/health_report_table.h"

namespace compatibility {
namespace {

namespace gossip = ivypost::gossip;
namespace health_reports = ivypost::health_reports;
using namespace std::chrono_literals;

std::string hexOf(std::span<const std::uint8_t> bytes) {
  return toHex(std::string(bytes.begin(), bytes.end()));
}

std::vector<std::uint8_t> bytesOf(const std::string& digits) {
  const std::string bytes = fromHex(digits);
  return {bytes.begin(), bytes.end()};
}

gossip::Update update(std::uint64_t number, gossip::State state) {
  gossip::Update one;
  one.id = 0x1100000000000000 + number;
  one.incarnation = 1'790'000'000'000 + 3 * number;
  one.address = {static_cast<std::uint32_t>(0x0a000001 + number), static_cast<std::uint16_t>(7946 + number)};
  one.state = state;
  if (state != gossip::State::Alive) one.witness = 0x2200000000000000 + number;
  return one;
}

gossip::Message message(gossip::Kind kind) {
  gossip::Message one;
  one.kind = kind;
  one.sender = gossip::idOf("s1");
  one.incarnation = 1'790'000'000'123;
  one.address = {0x7f000001, 7946};
  one.sequence = 0x0102030405060708;
  one.nonce = 0xfffefdfc;
  return one;
}

// Every kind, and every section where it stands.
std::vector<std::pair<std::string, gossip::Message>> messages() {
  using gossip::Kind;
  using gossip::State;
  std::vector<std::pair<std::string, gossip::Message>> all;
  for (const auto& [name, kind] : std::vector<std::pair<std::string, Kind>>{
           {"ping", Kind::Ping}, {"ack", Kind::Ack}, {"nack", Kind::Nack}, {"news", Kind::Announce}})
    all.emplace_back(name, message(kind));
  auto one = message(Kind::Ping);
  one.updates = {update(1, State::Alive), update(2, State::Suspect), update(3, State::Dead)};
  all.emplace_back("ping with updates", one);
  one = message(Kind::Relay);
  one.target = update(4, State::Alive);
  all.emplace_back("relay", one);
  one = message(Kind::Ack);
  one.table = gossip::TableSummary{{0x01020304, 0x05060708, 0x090a0b0c, 0x0d0e0f10}, 330, 5};
  one.payload = {0xfa, 0xc7, 0x05};
  all.emplace_back("ack with table and facts", one);
  one = message(Kind::Pull);
  one.table = gossip::TableSummary{{1, 2, 3, 4}, 9, 0};
  one.range = {3, 2};
  one.filter = {0xf1, 0x17, 0xe4};
  all.emplace_back("pull", one);
  one = message(Kind::Rumours);
  auto left = update(7, State::Dead);
  left.witness = left.id;
  auto comparing = update(5, State::Alive);
  comparing.region = 9;
  comparing.usesAntiEntropy = true;
  one.entries = {comparing, update(6, State::Suspect), left, update(8, State::Dead)};
  all.emplace_back("rumours", one);
  one = message(Kind::Page);
  one.entries = {update(9, State::Alive), update(10, State::Alive)};
  one.pageFlags = 3;
  all.emplace_back("page", one);
  return all;
}

void print(std::ostream& to, const char* name, const gossip::Update& one) {
  to << "  " << name << " id=" << std::hex << one.id << " witness=" << one.witness << std::dec
     << " incarnation=" << one.incarnation << " address=" << gossip::format(one.address)
     << " state=" << static_cast<int>(one.state) << " region=" << static_cast<int>(one.region)
     << " compares=" << one.usesAntiEntropy << "\n";
}

std::string meaningOf(const gossip::Message& one) {
  std::ostringstream out;
  out << "kind=" << static_cast<int>(one.kind) << " sender=" << std::hex << one.sender << std::dec
      << " incarnation=" << one.incarnation << " address=" << gossip::format(one.address) << std::hex
      << " sequence=" << one.sequence << " nonce=" << one.nonce << std::dec << "\n";
  if (one.target) print(out, "target", *one.target);
  for (const auto& each : one.updates) print(out, "update", each);
  if (one.table) {
    out << "  table" << std::hex;
    for (const auto digest : one.table->digests) out << " " << digest;
    out << std::dec << " heard=" << one.table->reachable << " region=" << static_cast<int>(one.table->region)
        << "\n";
  }
  for (const auto& each : one.entries) print(out, "entry", each);
  if (!one.filter.empty())
    out << "  filter " << static_cast<int>(one.range.index) << "/" << static_cast<int>(one.range.bits) << " "
        << hexOf(one.filter) << "\n";
  if (!one.payload.empty()) out << "  facts " << hexOf(one.payload) << "\n";
  if (one.kind == gossip::Kind::Page) out << "  flags " << static_cast<int>(one.pageFlags) << "\n";
  return out.str();
}

TEST(PeerMessages, EncodeToTheSameBytes) {
  std::string text;
  for (const auto& [name, one] : messages()) text += name + " " + hexOf(gossip::encode(one)) + "\n";
  expectGolden(text, "peer-messages.hex");
}

TEST(PeerMessages, RecordedBytesDecodeToTheSameMeaning) {
  std::istringstream lines(golden("peer-messages.hex"));
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    const auto decoded = gossip::decode(bytesOf(line.substr(line.rfind(' ') + 1)));
    text += line.substr(0, line.rfind(' ')) + "\n" + (decoded ? meaningOf(*decoded) : "no message\n");
  }
  expectGolden(text, "peer-messages.txt");
}

TEST(PeerMessages, IdsOfNamesAreTheSame) {
  std::ostringstream text;
  for (const char* name : {"s1", "sidecar-0042", "", "caf\xc3\xa9"})
    text << name << " " << std::hex << gossip::idOf(name) << "\n";
  expectGolden(text.str(), "peer-ids.txt");
}

// The seal needs no random number, so a sealed datagram is the same each time.
TEST(PeerMessages, SealToTheSameBytes) {
  const Folder folder;
  const auto seal = gossip::Seal::read(folder.write("key", golden("peers.key")));
  auto bytes = gossip::encode(message(gossip::Kind::Ping));
  seal.close(bytes);
  expectGolden(hexOf(bytes) + "\n", "peer-sealed.hex");
}

TEST(PeerMessages, RecordedSealOpens) {
  const Folder folder;
  const auto seal = gossip::Seal::read(folder.write("key", golden("peers.key")));
  std::string digits = golden("peer-sealed.hex");
  digits.pop_back();
  const auto bytes = bytesOf(digits);
  EXPECT_EQ(hexOf(seal.open(bytes)), digits.substr(0, digits.size() - 32));
}

// ---- Health reports

constexpr health_reports::PeerId kSelf = 0x5e1f000000000001;
constexpr health_reports::TimePoint kNow{50s};

TEST(PeerHealthReports, EncodeToTheSameBytes) {
  health_reports::HealthReportTable reports(kSelf, 1'790'000'000'000'000);
  const health_reports::Incarnation failing{0xaaaaaaaaaaaaaaaa, {}},
      silent{0xbbbbbbbbbbbbbbbb, health_reports::WallTime(1'790'000'000'456ms)};
  using Outcome = health_reports::AttemptHistory::Outcome;
  reports.recordAttempt(failing, Outcome::Failed, 1ms, kNow);
  reports.recordAttempt(failing, Outcome::Failed, 1ms, kNow + 10ms);
  reports.recordAttempt(silent, Outcome::Unanswered, 100ms, kNow + 20ms);
  const health_reports::HealthReport received{{0xcccccccccccccccc, health_reports::WallTime(7ms)},
                                              0x0123,
                                              99,
                                              health_reports::HealthStatus::Healthy,
                                              5,
                                              2,
                                              1500ms};
  reports.merge(received, 0s, kNow + 30ms);
  expectGolden(hexOf(reports.encodeNext(200, kNow + 50ms)) + "\n", "peer-judgements.hex");
}

TEST(PeerHealthReports, RecordedBytesDecodeToTheSameMeaning) {
  health_reports::HealthReportTable reports(0x7777, 1);
  std::string digits = golden("peer-judgements.hex");
  digits.pop_back();
  ASSERT_EQ(reports.receive(bytesOf(digits), 2ms, kNow), health_reports::ReceiveResult::Changed);
  std::ostringstream text;
  for (const auto& one : reports.reports(kNow))
    text << "upstream=" << std::hex << one.incarnation.endpoint << " witness=" << one.reporter << std::dec
         << " started=" << one.incarnation.startedAt.time_since_epoch().count() << " version=" << one.version
         << " finding=" << health_reports::nameOf(one.status) << " attempts=" << one.attempts
         << " failures=" << one.failures << " age=" << one.age.count() << "\n";
  expectGolden(text.str(), "peer-judgements.txt");
}

}  // namespace
}  // namespace compatibility
