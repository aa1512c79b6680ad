// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Upstreams in another data centre send some answers twice, the second copy some milliseconds late.
#include <deque>
#include <random>
#include <set>

#include "../common-2/rig.h"

namespace {

using namespace rig;

// The network: 10 to 20 ms one way, and no two crossings alike. A connection keeps the order of its bytes.
constexpr double kLeastWayMs = 10;
constexpr double kMostWayMs = 20;
constexpr double kCopyLateMs = 9;   // "some milliseconds"
constexpr double kCopyShare = 0.1;  // of the answers; once a connection at most
constexpr long long kWorkMs = 55;
constexpr int kClients = 8;
constexpr long long kExpiresMs = 1500;
constexpr long long kPlayMs = 40'000;

double uniform() {
  static std::mutex mutex;
  static std::mt19937 random(20261205);
  const std::lock_guard<std::mutex> lock(mutex);
  return std::uniform_real_distribution<double>(0, 1)(random);
}

Clock::duration way() {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(kLeastWayMs + (kMostWayMs - kLeastWayMs) * uniform()));
}

// The way from an upstream to the sidecar: each text arrives some time after it was sent, in order.
class Line {
 public:
  explicit Line(int fd) : fd_(fd), thread_([this] { run(); }) {}
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  ~Line() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ends_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }
  void send(std::string text, Clock::time_point sentAt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto at = std::max(last_, sentAt + way());
    last_ = at;
    queue_.emplace_back(at, std::move(text));
    changed_.notify_all();
  }

 private:
  void run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!ends_ || !queue_.empty()) {
      if (queue_.empty()) {
        changed_.wait(lock);
        continue;
      }
      const auto at = queue_.front().first;
      if (Clock::now() < at) {
        changed_.wait_until(lock, at);
        continue;
      }
      const std::string text = std::move(queue_.front().second);
      queue_.pop_front();
      lock.unlock();
      sendAll(fd_, text);
      lock.lock();
    }
  }
  int fd_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::pair<Clock::time_point, std::string>> queue_;
  Clock::time_point last_{};
  bool ends_ = false;
  std::thread thread_;
};

}  // namespace

int main(int argc, char** argv) {
  const Case one = begin(argc, argv);
  std::atomic<int> copies{0};
  std::mutex mutex;
  std::set<std::string> copied;  // the ids whose answer was sent twice
  const auto serve = [&](int fd) {
    {
      Line line(fd);
      Reader reader(fd);
      Message message;
      bool hasCopied = false;
      while (reader.read(message) == Read::Whole) {
        std::this_thread::sleep_until(message.endAt + way());  // the request's own way
        sleepMs(kWorkMs);
        const std::string trace = message.header("x-trace-id");
        RECORD("upstream: %s has run", trace.c_str());
        const std::string text = answer200("for " + trace);
        const auto sentAt = Clock::now();
        line.send(text, sentAt);
        if (!one.trouble || hasCopied || uniform() >= kCopyShare) continue;
        // Nothing else waits on the connection: not even the first copy has come to the sidecar by then.
        hasCopied = true;
        ++copies;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          copied.insert(trace);
        }
        RECORD("upstream: %s is answered, and once more 9 ms later", trace.c_str());
        line.send(text, sentAt + std::chrono::microseconds(static_cast<int>(kCopyLateMs * 1000)));
      }
    }
    ::close(fd);
  };
  Acceptor u1(serve);
  Acceptor u2(serve);
  Acceptor u3(serve);
  Discovery discovery({{"u1", u1.address(), "up", 0, 0, "z2"},
                       {"u2", u2.address(), "up", 0, 0, "z2"},
                       {"u3", u3.address(), "up", 0, 0, "z2"}});
  Settings settings;
  settings.classes = {{"quote", "single_shot", 600, 2000}};
  Sidecar sidecar(one, settings, discovery.address());
  sidecar.awaitReady();
  sleepMs(500);

  std::atomic<int> served{0};
  std::atomic<int> foreign{0};
  std::atomic<int> byCopy{0};  // of them, served with the copy itself; the others follow on its connection
  std::atomic<int> others{0};
  std::vector<std::thread> clients;
  const auto until = Clock::now() + milliseconds(kPlayMs);
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&] {
      int fd = -1;
      std::unique_ptr<Reader> reader;
      while (Clock::now() < until) {
        if (fd < 0) {
          fd = connectTo(sidecar.port());
          reader = std::make_unique<Reader>(fd);
        }
        const Request request{"quote", newTrace(), "", "x", false, kExpiresMs};
        RECORD("client: %s is sent", request.trace.c_str());
        Message message;
        if (!sendAll(fd, request.text()) ||
            reader->read(message, Clock::now() + milliseconds(kExpiresMs + 500)) != Read::Whole) {
          ++others;
          RECORD("client: %s has no answer", request.trace.c_str());
          ::close(fd);
          fd = -1;
          continue;
        }
        if (message.status() != 200) {
          ++others;
          RECORD("client: %s answer %d", request.trace.c_str(), message.status());
        } else if (message.body == "for " + request.trace) {
          ++served;
          RECORD("client: %s is served with its own answer", request.trace.c_str());
        } else {
          ++foreign;
          const std::lock_guard<std::mutex> lock(mutex);
          if (message.body.size() > 4 && copied.count(message.body.substr(4)) > 0) ++byCopy;
          RECORD("client: %s is served with another's answer: %s", request.trace.c_str(),
                 message.body.c_str());
        }
      }
      ::close(fd);
    });
  }
  for (auto& client : clients) client.join();
  RECORD(
      "%d served with their own answer, %d otherwise ended, %d copies; %d served with another's answer, %d "
      "of them with a copy: %s",
      served.load(), others.load(), copies.load(), foreign.load(), byCopy.load(),
      foreign > 0 ? "BROKEN" : "kept");
  finish(foreign > 0 ? 1 : 0);
}
