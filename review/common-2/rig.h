// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Stand-ins for the cases 6 and up of the review: a sidecar process, upstreams, discovery and clients on
// loopback, and a record of what was sent and answered. POSIX sockets and threads only.
#ifndef IVYPOST_REVIEW_RIG_2_H_
#define IVYPOST_REVIEW_RIG_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

// Milliseconds since the start of the case.
inline long long ms(Clock::time_point at = Clock::now()) {
  return std::chrono::duration_cast<milliseconds>(at - kStart).count();
}
inline void sleepMs(long long n) {
  std::this_thread::sleep_for(milliseconds(n));
}

// ---- The record -------------------------------------------------------------------------------------------

class Record {
 public:
  static Record& get() {
    static Record one;
    return one;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8lld ms  ", ms());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::rig::Record::get().line(__VA_ARGS__)

// Ends the case as "could not run".
[[noreturn]] inline void cannotRun(const std::string& why);

// ---- Sockets ----------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Listens on loopback; `port` 0: a free one, which is stored there.
inline int listenOn(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0)
    cannotRun("can't listen");
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that was free a moment ago, for a process that listens by itself.
inline int freePort() {
  int port = 0;
  ::close(listenOn(port));
  return port;
}

inline int connectTo(int port, int receiveBuffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (receiveBuffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

inline bool sendAll(int fd, const std::string& text) {
  for (std::size_t done = 0; done < text.size();) {
    const ssize_t size = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (size <= 0) return false;
    done += static_cast<std::size_t>(size);
  }
  return true;
}

inline void reset(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

// ---- HTTP -------------------------------------------------------------------------------------------------

struct Message {
  std::string start;                           // the first line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  Clock::time_point headAt, endAt;  // when the head, and the last byte, had come
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

enum class Read { Whole, Closed, Reset, TimedOut, Partial };

// Reads messages with Content-Length or chunks from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Reads one message until `until`. A close or reset before the first byte is Closed or Reset; one in the
  // middle is Partial.
  Read read(Message& message, Clock::time_point until = Clock::time_point::max()) {
    message = Message{};
    std::size_t end = 0;
    while ((end = text_.find("\r\n\r\n")) == std::string::npos) {
      const Read got = more(until);
      if (got != Read::Whole) return text_.empty() || got == Read::TimedOut ? got : Read::Partial;
    }
    message.headAt = Clock::now();
    parseHead(message, end);
    text_.erase(0, end + 4);
    const Read got = message.header("transfer-encoding") == "chunked" ? readChunks(message, until)
                                                                      : readLength(message, until);
    message.endAt = Clock::now();
    return got;
  }

 private:
  Read more(Clock::time_point until) {
    for (;;) {
      pollfd one{fd_, POLLIN, 0};
      int wait = -1;
      if (until != Clock::time_point::max()) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count() + 1;
        if (left <= 0) return Read::TimedOut;
        wait = static_cast<int>(std::min<long long>(left, 1000));
      }
      const int ready = ::poll(&one, 1, wait);
      if (ready == 0) continue;
      char buffer[16384];
      const ssize_t size = ::recv(fd_, buffer, sizeof buffer, 0);
      if (size < 0 && errno == EINTR) continue;
      if (size < 0) return Read::Reset;
      if (size == 0) return Read::Closed;
      text_.append(buffer, static_cast<std::size_t>(size));
      return Read::Whole;
    }
  }

  void parseHead(Message& message, std::size_t end) {
    std::size_t at = 0;
    bool first = true;
    while (at < end) {
      const std::size_t stop = std::min(text_.find("\r\n", at), end);
      const std::string line = text_.substr(at, stop - at);
      at = stop + 2;
      if (std::exchange(first, false)) {
        message.start = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers[name] = line.substr(value);
    }
  }

  Read readLength(Message& message, Clock::time_point until) {
    const std::size_t length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    while (text_.size() < length) {
      const Read got = more(until);
      if (got != Read::Whole) {
        message.body = text_;
        return got == Read::TimedOut ? got : Read::Partial;
      }
    }
    message.body = text_.substr(0, length);
    text_.erase(0, length);
    return Read::Whole;
  }

  Read readChunks(Message& message, Clock::time_point until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = text_.find("\r\n")) == std::string::npos) {
        const Read got = more(until);
        if (got != Read::Whole) return got == Read::TimedOut ? got : Read::Partial;
      }
      const std::size_t size = std::strtoull(text_.c_str(), nullptr, 16);
      while (text_.size() < end + 2 + size + 2) {
        const Read got = more(until);
        if (got != Read::Whole) {
          message.body += text_.substr(std::min(text_.size(), end + 2), size);
          return got == Read::TimedOut ? got : Read::Partial;
        }
      }
      message.body += text_.substr(end + 2, size);
      text_.erase(0, end + 2 + size + 2);
      if (size == 0) return Read::Whole;
    }
  }

  int fd_;
  std::string text_;
};

inline std::string answer200(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A request of a client, as the protocol page words it.
struct Request {
  std::string requestClass, trace, key, body;
  bool isGet = false;
  long long expiresMs = 0;
  [[nodiscard]] std::string text() const {
    std::string t = (isGet ? "GET /" : "POST /") + requestClass + "/" + trace + " HTTP/1.1\r\n";
    t += "Host: service.internal\r\nX-Trace-Id: " + trace + "\r\nX-Qos: " + requestClass + "\r\n";
    t += "X-Expires-In-Ms: " + std::to_string(expiresMs) + "\r\n";
    if (!key.empty()) t += "Idempotency-Key: " + key + "\r\n";
    if (!isGet) t += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return t + "\r\n" + body;
  }
};

// A fresh id of 16 hexadecimal digits.
inline std::string newTrace() {
  static std::atomic<unsigned long long> next{1};
  static const unsigned long long base = static_cast<unsigned long long>(::getpid()) << 32;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", base + next++);
  return text;
}

// ---- Upstreams --------------------------------------------------------------------------------------------

// Accepts connections on loopback and runs a handler for each in a thread of its own, which closes it.
class Acceptor {
 public:
  using Handler = std::function<void(int)>;
  explicit Acceptor(Handler handler, int port = 0) : port_(port), handler_(std::move(handler)) {
    fd_ = listenOn(port_);
    std::thread([this] { run(); }).detach();
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void run() {
    for (;;) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleepMs(1);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { handler_(fd); }).detach();
    }
  }
  int port_;
  int fd_ = -1;
  Handler handler_;
};

// An upstream that answers each whole request with the text of a function; an empty text: no answer.
class Upstream {
 public:
  using Answer = std::function<std::string(const Message&)>;
  Upstream(std::string id, Answer answer)
      : id_(std::move(id)), answer_(std::move(answer)), acceptor_([this](int fd) { serve(fd); }) {}
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] std::string address() const { return acceptor_.address(); }

 private:
  void serve(int fd) {
    Reader reader(fd);
    Message message;
    while (reader.read(message) == Read::Whole) {
      if (message.start.rfind("GET /status/load", 0) == 0 || message.start.rfind("GET /health", 0) == 0) {
        if (!sendAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")) break;
        continue;
      }
      const std::string text = answer_(message);
      if (!text.empty() && !sendAll(fd, text)) break;
    }
    ::close(fd);
  }
  std::string id_;
  Answer answer_;
  Acceptor acceptor_;
};

// ---- Discovery --------------------------------------------------------------------------------------------

struct Instance {
  std::string id, address, lifecycle = "up";
  int cell = 0;
  long long startedAtMs = 0;
  std::string zone = "z1";  // the sidecar's own, or z2
};

// Discovery, or its agent: whole lists and watches, as the protocol page words them. While it is down, each
// call gets 503 and the watches end with a reset.
class Discovery {
 public:
  explicit Discovery(std::vector<Instance> instances)
      : instances_(std::move(instances)), acceptor_([this](int fd) { serve(fd); }) {}
  [[nodiscard]] std::string address() const { return acceptor_.address(); }

  void setDown(bool down) {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  // How many calls were refused in the last so many milliseconds.
  int refusedWithin(long long span) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto from = Clock::now() - milliseconds(span);
    return static_cast<int>(std::count_if(refusedAt_.begin(), refusedAt_.end(),
                                          [&](Clock::time_point at) { return at >= from; }));
  }
  void change(const std::string& id, const std::string& lifecycle) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (Instance& one : instances_) {
      if (one.id == id) one.lifecycle = lifecycle;
    }
    ++generation_;
    changedAt_[id] = generation_;
    changed_.notify_all();
  }

 private:
  static std::string entry(const Instance& one) {
    return "{\"instanceId\":\"" + one.id + "\",\"hostPort\":\"" + one.address + "\",\"zone\":\"" + one.zone +
           "\",\"machineType\":\"m1\",\"cell\":" + std::to_string(one.cell) + ",\"lifecycle\":\"" +
           one.lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + std::to_string(one.startedAtMs) + "}";
  }
  // The answer to a call with this index; -1: the whole list.
  std::string list(long long index) {
    std::string entries;
    for (const Instance& one : instances_) {
      const auto at = changedAt_.find(one.id);
      const bool isNew = at != changedAt_.end() && at->second > index;
      if (index >= 0 && !isNew) continue;
      if (index < 0 && one.lifecycle == "removed") continue;
      entries += (entries.empty() ? "" : ",") + entry(one);
    }
    return "{\"generation\":" + std::to_string(generation_) + ",\"reset\":" + (index < 0 ? "true" : "false") +
           ",\"instances\":[" + entries + "]}";
  }
  static long long parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size() + 1);
  }
  void serve(int fd) {
    Reader reader(fd);
    Message message;
    while (reader.read(message) == Read::Whole) {
      const long long index = parameter(message.start, "index");
      const auto until = Clock::now() + milliseconds(std::max(0LL, parameter(message.start, "wait")));
      std::unique_lock<std::mutex> lock(mutex_);
      const bool wasDown = down_;
      while (index >= 0 && generation_ <= index && !down_ && Clock::now() < until)
        changed_.wait_until(lock, until);
      if (down_ && !wasDown) {
        lock.unlock();
        return reset(fd);
      }
      if (down_) refusedAt_.push_back(Clock::now());
      RECORD("discovery: %s -> %s", message.start.c_str(), down_ ? "503" : "200");
      const std::string text =
          down_ ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" : answer200(list(index));
      lock.unlock();
      if (!sendAll(fd, text)) break;
    }
    ::close(fd);
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Instance> instances_;
  long long generation_ = 1;
  std::map<std::string, long long> changedAt_;
  std::vector<Clock::time_point> refusedAt_;
  bool down_ = false;
  Acceptor acceptor_;
};

// ---- The sidecar ------------------------------------------------------------------------------------------

// The processes that the case has started, ended when the case ends.
inline std::vector<pid_t>& processes() {
  static std::vector<pid_t> all;
  return all;
}

inline void endProcesses() {
  for (const pid_t one : processes()) ::kill(-one, SIGKILL);
  for (const pid_t one : processes()) ::waitpid(one, nullptr, 0);
  processes().clear();
}

[[noreturn]] inline void finish(int code) {
  endProcesses();
  std::fflush(nullptr);
  ::_exit(code);
}

inline void cannotRun(const std::string& why) {
  RECORD("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  finish(2);
}

// The settings of a class. `semantics`: free, guarded or single_shot.
struct ClassSettings {
  std::string name, semantics;
  long long aimMs = 0, deadlineMs = 0;
  std::string group = "all";
  long long repeatWindowMs = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  int memoryMb = 192, sockets = 1024;
  int sidecars = 3, index = 0;
  std::string membershipMode = "automatic";  // or subscribe
  long long stopSendingWithinMs = 2000, askWithinMs = 10000;
  bool secondCopies = true;
  int maxAttempts = 3;
};

inline std::string configText(const Settings& s, const std::string& name, int port,
                              const std::string& discovery) {
  const auto us = [](long long n) { return std::to_string(n * 1000); };
  std::string classes;
  for (const ClassSettings& c : s.classes) {
    classes += (classes.empty() ? "" : ",") + std::string("{\"name\":\"") + c.name +
               "\",\"aim\":" + us(c.aimMs) + ",\"deadline\":" + us(c.deadlineMs) + ",\"semantics\":\"" +
               c.semantics + "\",\"group\":\"" + c.group + "\",\"repeatWindow\":" + us(c.repeatWindowMs) +
               ",\"value\":1.0,\"lateWorth\":0.0,\"stream\":false}";
  }
  const auto flag = [](bool on) { return on ? "true" : "false"; };
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(port) + "\",\"discovery\":\"" +
         discovery + "\",\"seed\":\"8c1f30d2" + std::to_string(s.index) +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(s.memoryMb) +
         ",\"sockets\":" + std::to_string(s.sockets) +
         "},\"settings\":{\"balancers\":" + std::to_string(s.sidecars) +
         ",\"index\":" + std::to_string(s.index) + ",\"classes\":[" + classes +
         "],\"contract\":{\"answerSlack\":20000,\"askWithin\":" + us(s.askWithinMs) +
         ",\"cold\":8500000,\"fall\":1000000,\"fallMultiple\":2.5,\"startCapacity\":0.32,"
         "\"stopSendingWithin\":" +
         us(s.stopSendingWithinMs) +
         "},\"limits\":{\"connectTimeout\":250000,\"idleClose\":30000000,\"maxAttempts\":" +
         std::to_string(s.maxAttempts) +
         ",\"maxOpen\":20000,\"maxRetryAfter\":1200000,\"maxStreams\":1,\"mayCancel\":true,"
         "\"mayTell\":false,\"probing\":false,\"retryAfter\":false,\"secondCopies\":" +
         flag(s.secondCopies) +
         "},\"locality\":\"z1\",\"zones\":[\"z1\",\"z2\"],\"skus\":[\"m1\"],\"membershipMode\":\"" +
         s.membershipMode +
         "\",\"report\":{\"how\":\"none\"},\"resolution\":5000,\"weights\":\"none\","
         "\"worthBy\":\"request\"}}";
}

// The command, folder and trouble of a case: `CASE ROOT RUN FOLDER`.
struct Case {
  std::string root, run, folder, temporary;
  bool trouble = true;
};

inline Case begin(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  if (argc != 4) cannotRun("usage: PROGRAM ROOT RUN FOLDER");
  Case one{argv[1], argv[2], argv[3], "", true};
  const char* const trouble = std::getenv("TROUBLE");
  one.trouble = trouble == nullptr || std::string(trouble) != "0";
  const char* const temporary = std::getenv("CASE_TMP");
  if (temporary == nullptr) cannotRun("CASE_TMP is not set");
  one.temporary = temporary;
  Record::get().open(one.folder + "/record.txt");
  RECORD("run: %s; trouble: %s", one.run.c_str(), one.trouble ? "yes" : "no");
  return one;
}

// One sidecar, started by the deploy file's command.
class Sidecar {
 public:
  Sidecar(const Case& one, const Settings& settings, const std::string& discovery)
      : name_("n" + std::to_string(settings.index)), port_(freePort()) {
    const std::string folder = one.temporary + "/" + name_;
    ::mkdir(folder.c_str(), 0700);
    ::mkdir((folder + "/tmp").c_str(), 0700);
    const std::string path = folder + "/config.json";
    std::ofstream(path) << configText(settings, name_, port_, discovery);
    pid_ = ::fork();
    if (pid_ < 0) cannotRun("fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
      ::setpgid(0, 0);
      ::setenv("GW_CONFIG", path.c_str(), 1);
      const auto sockets = static_cast<rlim_t>(settings.sockets);
      const rlimit descriptors{sockets, sockets};  // as the platform limits them
      ::setrlimit(RLIMIT_NOFILE, &descriptors);
      ::setenv("TMPDIR", (folder + "/tmp").c_str(), 1);
      if (::chdir(one.root.c_str()) != 0) ::_exit(127);
      const int log = ::open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", one.run.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    ::setpgid(pid_, pid_);
    processes().push_back(pid_);
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] const std::string& name() const { return name_; }

  // Waits until GET /ready answers 200.
  void awaitReady() const {
    for (int n = 0; n < 300; ++n, sleepMs(100)) {
      const int fd = connectTo(port_);
      if (fd < 0) continue;
      Message message;
      Reader reader(fd);
      sendAll(fd, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      const Read got = reader.read(message, Clock::now() + milliseconds(1000));
      ::close(fd);
      if (got == Read::Whole && message.status() == 200) {
        RECORD("%s is ready, process %d", name_.c_str(), static_cast<int>(pid_));
        return;
      }
    }
    cannotRun(name_ + " is not ready");
  }
  // A line of /proc/PID/status in kB, such as RssAnon; -1: the process is gone.
  [[nodiscard]] long long statusKb(const std::string& field) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(field + ":", 0) == 0) return std::atoll(line.c_str() + field.size() + 1);
    }
    return -1;
  }
  [[nodiscard]] bool runs() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }

 private:
  std::string name_;
  int port_;
  pid_t pid_ = -1;
};

}  // namespace rig

#endif  // IVYPOST_REVIEW_RIG_2_H_
