// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A planned restart while a crowd of clients has connected that never finish a request.
#include <dirent.h>

#include "../common-2/rig.h"

namespace {

using namespace rig;

// The limits of the configuration, halved as on the page, and what the crowd does.
constexpr int kMemoryMb = 32;                // half of 64
constexpr int kSockets = 512;                // half of 1,024
constexpr int kCrowd = 1500;                 // "thousands connect"
constexpr std::size_t kStatedBody = 65'000;  // at most 64 KiB
constexpr std::size_t kWrittenBody = 64'000;
constexpr int kTrueRequests = 8;
constexpr long long kWorkMs = 1700;     // of an upstream for a true request
constexpr long long kExpiresMs = 2000;  // 80 % of the class's deadline of 2.5 s
constexpr long long kKillMs =
    3700;  // SIGKILL follows SIGTERM by the deadline (3 s at most) and 0.7 s at the least

long long ownBytes(const Sidecar& sidecar) {
  return sidecar.statusKb("RssAnon") * 1024;
}

int descriptorsOf(const Sidecar& sidecar) {
  DIR* const folder = ::opendir(("/proc/" + std::to_string(sidecar.pid()) + "/fd").c_str());
  if (folder == nullptr) return 0;
  int count = -2;
  while (::readdir(folder) != nullptr) ++count;
  ::closedir(folder);
  return count;
}

// Connects without waiting, as the sidecar's queue may be long.
int beginConnect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) cannotRun("no descriptor for the crowd");
  const sockaddr_in address = loopback(port);
  ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return fd;
}

}  // namespace

int main(int argc, char** argv) {
  const Case one = begin(argc, argv);
  const auto answer = [](const Message& message) {
    RECORD("upstream: %s has come whole", message.header("x-trace-id").c_str());
    sleepMs(kWorkMs);
    return answer200("served " + message.header("x-trace-id"));
  };
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<Instance> instances;
  for (int n = 0; n < kTrueRequests; ++n) {
    upstreams.push_back(std::make_unique<Upstream>("u" + std::to_string(n), answer));
    instances.push_back({upstreams.back()->id(), upstreams.back()->address(), "up", 0, 0});
  }
  Discovery discovery(instances);
  Settings settings;
  settings.memoryMb = kMemoryMb;
  settings.sockets = kSockets;
  settings.classes = {{"change", "single_shot", 600, 2500}};
  Sidecar sidecar(one, settings, discovery.address());
  sidecar.awaitReady();
  sleepMs(500);

  std::atomic<long long> peak{0};
  std::atomic<int> mostDescriptors{0};
  std::atomic<bool> overLimit{false};
  std::atomic<bool> ends{false};
  // The platform: it kills the process that is over its memory.
  std::thread platform([&] {
    while (!ends) {
      const long long bytes = ownBytes(sidecar);
      peak = std::max<long long>(peak, bytes);
      mostDescriptors = std::max<int>(mostDescriptors, descriptorsOf(sidecar));
      if (!overLimit && bytes > kMemoryMb * 1024LL * 1024) {
        overLimit = true;
        RECORD("%lld kB of its own are over the limit of %d MB: the platform kills the sidecar", bytes / 1024,
               kMemoryMb);
        if (std::getenv("KEEP_RUNNING") == nullptr) ::kill(sidecar.pid(), SIGKILL);
      }
      sleepMs(5);
    }
  });

  // The true requests are taken before the crowd comes.
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < kTrueRequests; ++n) {
    clients.emplace_back([&] {
      const Request request{"change", newTrace(), "", "x", false, kExpiresMs};
      const int fd = connectTo(sidecar.port());
      const auto sentAt = Clock::now();
      sendAll(fd, request.text());
      Reader reader(fd);
      Message message;
      const Read got = reader.read(message, sentAt + milliseconds(kExpiresMs + 500));
      RECORD("true client: %s answer %d after %lld ms", request.trace.c_str(),
             got == Read::Whole ? message.status() : 0, ms() - ms(sentAt));
      if (got == Read::Whole) ++answered;
      ::close(fd);
    });
  }
  sleepMs(100);
  if (one.trouble) {
    std::string half =
        "POST /change/c HTTP/1.1\r\nHost: service.internal\r\nX-Qos: change\r\nX-Expires-In-Ms: 2000\r\n";
    half += "Content-Length: " + std::to_string(kStatedBody) + "\r\n\r\n" + std::string(kWrittenBody, 'c');
    std::vector<int> crowd;
    constexpr int kAtOnce = 50;
    for (int n = 0; n < kCrowd; n += kAtOnce) {
      for (int k = 0; k < kAtOnce; ++k) crowd.push_back(beginConnect(sidecar.port()));
      sleepMs(2);
      for (std::size_t k = crowd.size() - kAtOnce; k < crowd.size(); ++k)
        ::send(crowd[k], half.data(), half.size(), MSG_NOSIGNAL);
      sleepMs(10);
    }
    RECORD("a crowd of %d has connected and written a part of a request each", kCrowd);
  }
  sleepMs(100);
  RECORD("before SIGTERM: %lld kB of its own at the most, %d descriptors", peak / 1024,
         mostDescriptors.load());
  RECORD("SIGTERM");
  ::kill(sidecar.pid(), SIGTERM);
  const auto until = Clock::now() + milliseconds(kKillMs);
  while (Clock::now() < until && sidecar.runs()) sleepMs(10);
  ends = true;
  platform.join();
  for (auto& client : clients) client.join();
  RECORD(
      "peak %lld kB of its own, limit %d kB; %d descriptors at the most, limit %d; %d of %d true requests "
      "answered: %s",
      peak / 1024, kMemoryMb * 1024, mostDescriptors.load(), kSockets, answered.load(), kTrueRequests,
      overLimit ? "BROKEN, the sidecar has crashed" : "kept");
  finish(overLimit || (!one.trouble && answered < kTrueRequests) ? 1 : 0);
}
