// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Clients write large bodies slowly, and the platform ends the sidecar when it is over its memory.
#include "../common-2/rig.h"

namespace {

using namespace rig;

// The limits of the configuration, and what the protocol pages allow clients.
constexpr int kMemoryMb = 32;          // 32 to 192 MB
constexpr int kSockets = 1024;         // 256 to 1,024 descriptors
constexpr int kClients = 340;          // a third of the descriptors at most
constexpr long long kRate = 64'000;    // a body at 64 kB a second
constexpr int kLargeBody = 1'000'000;  // bodies of up to 32 MB
constexpr int kSmallBody = 1'000;
constexpr long long kExpiresMs = 2000;  // 80 % of the class's deadline
constexpr long long kPlayMs = 6000;

struct Client {
  int fd = -1;
  std::string trace, text;
  std::size_t written = 0;
  std::string answer;
  bool closed = false;
};

// What the platform counts at the least: memory of the process's own, without the program's file and without
// what the kernel holds for its sockets.
long long ownBytes(const Sidecar& sidecar) {
  return sidecar.statusKb("RssAnon") * 1024;
}

}  // namespace

int main(int argc, char** argv) {
  const Case one = begin(argc, argv);
  const int bodySize = one.trouble ? kLargeBody : kSmallBody;
  std::atomic<int> ran{0};
  const auto answer = [&](const Message& message) {
    ++ran;
    return answer200("served " + message.header("x-trace-id"));
  };
  Upstream u1("u1", answer);
  Upstream u2("u2", answer);
  Upstream u3("u3", answer);
  Upstream u4("u4", answer);
  Discovery discovery({{"u1", u1.address(), "up", 0, 0},
                       {"u2", u2.address(), "up", 0, 0},
                       {"u3", u3.address(), "up", 0, 0},
                       {"u4", u4.address(), "up", 0, 0}});
  Settings settings;
  settings.memoryMb = kMemoryMb;
  settings.sockets = kSockets;
  settings.classes = {{"book", "single_shot", 600, 2500}};
  Sidecar sidecar(one, settings, discovery.address());
  sidecar.awaitReady();
  sleepMs(500);
  RECORD("idle: %lld kB of its own", ownBytes(sidecar) / 1024);

  std::vector<Client> clients;
  for (int n = 0; n < kClients; ++n) {
    Client client;
    client.fd = connectTo(sidecar.port());
    if (client.fd < 0) cannotRun("a client can't connect");
    ::fcntl(client.fd, F_SETFL, O_NONBLOCK);
    client.trace = newTrace();
    client.text = Request{"book", client.trace, "", std::string(static_cast<std::size_t>(bodySize), 'b'),
                          false,  kExpiresMs}
                      .text();
    clients.push_back(std::move(client));
  }
  RECORD("%d clients write a body of %d bytes each, at %lld bytes a second", kClients, bodySize, kRate);

  const auto begun = Clock::now();
  long long peak = 0;
  long long nextLine = 0;
  bool overLimit = false;
  while (Clock::now() - begun < milliseconds(kPlayMs)) {
    const long long elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - begun).count();
    const auto allowed = static_cast<std::size_t>(500 + kRate * elapsed / 1000);
    for (Client& client : clients) {
      if (client.closed) continue;
      if (client.answer.empty() && client.written < std::min(allowed, client.text.size())) {
        const ssize_t size = ::send(client.fd, client.text.data() + client.written,
                                    std::min(allowed, client.text.size()) - client.written, MSG_NOSIGNAL);
        if (size > 0) client.written += static_cast<std::size_t>(size);
      }
      char buffer[4096];
      const ssize_t size = ::recv(client.fd, buffer, sizeof buffer, 0);
      if (size > 0) client.answer.append(buffer, static_cast<std::size_t>(size));
      if (size == 0 || (size < 0 && errno != EAGAIN)) client.closed = true;
    }
    const long long bytes = ownBytes(sidecar);
    peak = std::max(peak, bytes);
    if (elapsed >= nextLine) {
      nextLine += 250;
      RECORD("%lld kB of its own; %d requests have come whole to upstreams", bytes / 1024, ran.load());
    }
    if (!overLimit && bytes > kMemoryMb * 1024LL * 1024) {
      overLimit = true;
      RECORD("%lld kB of its own are over the limit of %d MB: the platform kills the sidecar", bytes / 1024,
             kMemoryMb);
      if (std::getenv("KEEP_RUNNING") == nullptr) ::kill(sidecar.pid(), SIGKILL);
    }
    sleepMs(10);
  }
  std::map<std::string, int> ends;
  for (const Client& client : clients) {
    const std::string end = !client.answer.empty() ? "answer " + client.answer.substr(9, 3)
                            : client.closed        ? "closed with no answer"
                                                   : "open, no answer yet";
    ++ends[end];
    RECORD("client: %s, %zu bytes written: %s", client.trace.c_str(), client.written, end.c_str());
  }
  for (const auto& [end, count] : ends) RECORD("clients: %d: %s", count, end.c_str());
  RECORD("peak %lld kB of its own, limit %d kB: %s", peak / 1024, kMemoryMb * 1024,
         overLimit ? "BROKEN, the sidecar has crashed" : "kept");
  // Without trouble every request has to be answered too.
  const bool allAnswered = ends["closed with no answer"] + ends["open, no answer yet"] == 0;
  finish(overLimit || (!one.trouble && !allAnswered) ? 1 : 0);
}
