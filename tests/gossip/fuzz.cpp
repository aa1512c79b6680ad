// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A fuzz target (libFuzzer) for all that comes from another sidecar behind the seal: datagrams one after the
// other, with time between them, into membership and health reports. Built without a fuzzer it plays the
// files that it is given. tests/gossip/fuzz.sh builds and runs it by hand; CI plays the corpus.
//
// The input: for each datagram its length (one byte), the time since the last one in units of 5 ms (one
// byte), and its bytes without the seal.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <span>
#include <vector>

#include "gossip/members.h"
#include "health_reports/health_report_table.h"

namespace {

using namespace ivypost;

void require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

health_reports::TimePoint timePoint(gossip::Micros at) {
  return health_reports::TimePoint(std::chrono::microseconds(at));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  gossip::Settings settings;
  settings.self = 1;
  settings.address = {0x7f000001, 1};
  settings.seeds = {{0x7f000001, 2}};
  settings.expected = 12;
  gossip::Members members(settings, 1, 0);
  health_reports::HealthReportTable reports(1, 1);
  gossip::Micros now = 1'000'000'000;
  std::span<const std::uint8_t> input(data, size);
  std::uint64_t sequence = 0;
  while (input.size() > 2) {
    const std::size_t length = std::min<std::size_t>(input[0], input.size() - 2);
    now += input[1] * 5000;
    const auto datagram = input.subspan(2, length);
    input = input.subspan(2 + length);
    std::vector<gossip::Outgoing> out;
    members.tick(now, out);
    auto message = gossip::decode(datagram);
    if (message) {
      require(gossip::encode(*message).size() + gossip::kSealBytes <= gossip::kMaxDatagram, "a message fits");
      // A fuzzer would hardly count up by itself, nor answer a ping that it can't see.
      message->sequence = ++sequence;
      for (const gossip::Outgoing& one : out)
        if (one.message.kind == gossip::Kind::Ping && message->kind == gossip::Kind::Ack)
          message->nonce = one.message.nonce;
      const auto late = members.elapsedSincePing(*message, now);
      require(!late || *late <= settings.isolatedAfter, "an answer that counts is fresh");
      if (members.receive(*message, now, out) && late)
        reports.receive(message->payload, std::chrono::microseconds(*late), timePoint(now));
    }
    require(out.size() <= 16, "one datagram causes few");
    for (const gossip::Outgoing& one : out)
      require(gossip::encode(one.message).size() + gossip::kSealBytes <= gossip::kMaxDatagram,
              "what is sent fits");
    require(members.knownCount() <= gossip::kMaxMembers, "the table's bound");
    require(members.reachableCount() <= members.knownCount() + 1, "heard are known");
    require(members.reachableFraction() > 0 && members.reachableFraction() <= 1, "a part");
    require(reports.size() <= health_reports::kMaxReports, "the health reports' bound");
    for (const health_reports::HealthReport& one : reports.reports(timePoint(now)))
      require(one.age >= health_reports::Duration::zero() && one.age < health_reports::kTimeToLive,
              "none is too old");
    require(reports.encodeNext(138, timePoint(now)).size() <= 138, "facts fit their room");
  }
  return 0;
}

#ifndef IVYPOST_FUZZER
int main(int argc, char** argv) {
  int played = 0;
  for (int n = 1; n < argc; ++n, ++played) {
    std::ifstream file(argv[n], std::ios::binary);
    const std::vector<char> bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
      std::fprintf(stderr, "cannot read %s\n", argv[n]);
      return 1;
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
  std::printf("%d inputs played\n", played);
  return played > 0 ? 0 : 1;
}
#endif
