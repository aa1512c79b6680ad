// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A libFuzzer target for everything received from another sidecar with a valid seal: a sequence of datagrams,
// with time between them, is passed to the membership and the health reports. Built without libFuzzer it runs
// the files given as arguments. tests/gossip/fuzz.sh builds and runs it manually; CI runs the corpus.
//
// Input format, for each datagram: its length (one byte), the time since the previous one in units of 5 ms
// (one byte), and its bytes without the seal.
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
  std::fprintf(stderr, "invariant violated: %s\n", what);
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
      require(gossip::encode(*message).size() + gossip::kSealBytes <= gossip::kMaxDatagram,
              "a decoded message fits into a datagram");
      // Set here, since a fuzzer can hardly produce increasing sequence numbers, or the nonce of a ping that
      // it does not see.
      message->sequence = ++sequence;
      for (const gossip::Outgoing& one : out)
        if (one.message.kind == gossip::Kind::Ping && message->kind == gossip::Kind::Ack)
          message->nonce = one.message.nonce;
      const auto late = members.elapsedSincePing(*message, now);
      require(!late || *late <= settings.isolatedAfter, "an accepted answer is at most isolatedAfter old");
      if (members.receive(*message, now, out) && late)
        reports.receive(message->payload, std::chrono::microseconds(*late), timePoint(now));
    }
    require(out.size() <= 16, "one datagram causes at most 16 messages");
    for (const gossip::Outgoing& one : out)
      require(gossip::encode(one.message).size() + gossip::kSealBytes <= gossip::kMaxDatagram,
              "a sent message fits into a datagram");
    require(members.knownCount() <= gossip::kMaxMembers, "the member table is bounded");
    require(members.reachableCount() <= members.knownCount() + 1, "reachable members are known");
    require(members.reachableFraction() > 0 && members.reachableFraction() <= 1,
            "the reachable fraction is in (0, 1]");
    require(reports.size() <= health_reports::kMaxReports, "the health reports are bounded");
    for (const health_reports::HealthReport& one : reports.reports(timePoint(now)))
      require(one.age >= health_reports::Duration::zero() && one.age < health_reports::kTimeToLive,
              "no report exceeds its time to live");
    require(reports.encodeNext(138, timePoint(now)).size() <= 138, "encoded reports fit into the given size");
  }
  return 0;
}

#ifndef IVYPOST_FUZZER
int main(int argc, char** argv) {
  int inputs = 0;
  for (int n = 1; n < argc; ++n, ++inputs) {
    std::ifstream file(argv[n], std::ios::binary);
    const std::vector<char> bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
      std::fprintf(stderr, "cannot read %s\n", argv[n]);
      return 1;
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
  std::printf("%d inputs run\n", inputs);
  return inputs > 0 ? 0 : 1;
}
#endif
