// Stand-ins for the platform, clients and upstreams, shared by the cases of this folder. Loopback and the
// real clock.
#ifndef REVIEW_STANDINS_H_
#define REVIEW_STANDINS_H_

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
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

[[noreturn]] inline void giveUp(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(kNotRun);
}

inline bool hasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline void sleepFor(milliseconds span) {
  std::this_thread::sleep_for(span);
}

// record.txt: what was sent, answered and run, by milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), begin_(Clock::now()) {
    if (file_ == nullptr) giveUp("record.txt can't be written");
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { std::fclose(file_); }
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%9.1f %s\n", now(), text.c_str());
    std::fflush(file_);
  }
  // Also to standard output.
  void say(const std::string& text) {
    line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }
  [[nodiscard]] double now() const {
    return std::chrono::duration<double, std::milli>(Clock::now() - begin_).count();
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  Clock::time_point begin_;
};

// ---- Sockets ----------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int portOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) giveUp("getsockname");
  return ntohs(address.sin_port);
}

inline int listenOn(int port = 0, int backlog = 1024) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) giveUp("no socket");
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(socket, backlog) != 0)
    giveUp("a loopback port can't be bound");
  return socket;
}

// A port that was free a moment ago.
inline int freePort() {
  const int socket = listenOn();
  const int port = portOf(socket);
  close(socket);
  return port;
}

inline void noDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A connection to this port; -1: refused or not up in time.
inline int connectTo(int port, milliseconds patience = milliseconds(1000)) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return -1;
  const sockaddr_in address = loopback(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd one{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&one, 1, static_cast<int>(patience.count())) <= 0 ||
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(socket);
      return -1;
    }
  }
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  noDelay(socket);
  return socket;
}

inline bool sendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline bool isReadableWithin(int socket, milliseconds span) {
  pollfd one{socket, POLLIN, 0};
  return poll(&one, 1, static_cast<int>(std::max<std::int64_t>(0, span.count()))) > 0;
}

// ---- HTTP messages with a stated length -------------------------------------------------------------------

struct Message {
  std::string startLine;
  std::map<std::string, std::string> headers;  // names in small letters
  std::string body;
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

enum class ReadEnd { Complete, Closed, Reset, TooLate };

class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}
  // Reads one message; on another end than Complete, `bytes()` tells how much of it came.
  ReadEnd read(Message& message, Clock::time_point until = Clock::time_point::max()) {
    for (;;) {
      if (parse(message)) return ReadEnd::Complete;
      const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
      if (until != Clock::time_point::max() && (left.count() <= 0 || !isReadableWithin(socket_, left)))
        return ReadEnd::TooLate;
      char piece[16384];
      const ssize_t size = recv(socket_, piece, sizeof piece, 0);
      if (size == 0) return ReadEnd::Closed;
      if (size < 0) return ReadEnd::Reset;
      buffer_.append(piece, static_cast<std::size_t>(size));
    }
  }
  [[nodiscard]] std::size_t bytes() const { return buffer_.size(); }

 private:
  bool parse(Message& message) {
    const auto end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    Message read;
    std::istringstream head(buffer_.substr(0, end + 2));
    std::string line;
    std::getline(head, read.startLine);
    if (!read.startLine.empty() && read.startLine.back() == '\r') read.startLine.pop_back();
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const auto from = line.find_first_not_of(' ', colon + 1);
      read.headers[name] = from == std::string::npos ? std::string() : line.substr(from);
    }
    const std::size_t length = std::strtoul(read.header("content-length").c_str(), nullptr, 10);
    if (buffer_.size() < end + 4 + length) return false;
    read.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    message = std::move(read);
    return true;
  }

  int socket_;
  std::string buffer_;
};

inline std::string answerText(int status, const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// 0: not an answer.
inline int statusOf(const Message& message) {
  return message.startLine.size() < 12 ? 0 : std::atoi(message.startLine.c_str() + 9);
}

// The status of one call on a connection of its own; 0: no answer within a second.
inline int statusOfCall(int port, const std::string& method, const std::string& path) {
  const int socket = connectTo(port);
  if (socket < 0) return 0;
  Message answer;
  Reader reader(socket);
  const bool isAnswered = sendAll(socket, method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\n" +
                                              (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n") &&
                          reader.read(answer, Clock::now() + std::chrono::seconds(1)) == ReadEnd::Complete;
  close(socket);
  return isAnswered ? statusOf(answer) : 0;
}

inline std::string hex16(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// ---- The platform -----------------------------------------------------------------------------------------

struct Instance {
  std::string id;
  int port = 0;
  std::string zone;
  std::string kind;
  int cell = 1;
  std::string state = "up";
};

inline std::string listText(int generation, bool whole, const std::vector<Instance>& instances) {
  std::string text = "{\"generation\":" + std::to_string(generation) +
                     ",\"reset\":" + (whole ? "true" : "false") + ",\"instances\":[";
  for (std::size_t n = 0; n < instances.size(); ++n) {
    const Instance& one = instances[n];
    text += std::string(n == 0 ? "" : ",") + "{\"instanceId\":\"" + one.id +
            "\",\"hostPort\":\"127.0.0.1:" + std::to_string(one.port) + "\",\"zone\":\"" + one.zone +
            "\",\"machineType\":\"" + one.kind + "\",\"cell\":" + std::to_string(one.cell) +
            ",\"lifecycle\":\"" + one.state + "\",\"weight\":1.0,\"startedAtMs\":0}";
  }
  return text + "]}";
}

// The list of upstreams: whole lists, and watches that wait for a change.
class Discovery {
 public:
  explicit Discovery(std::vector<Instance> instances)
      : instances_(std::move(instances)), socket_(listenOn()) {
    port_ = portOf(socket_);
    std::thread([this, socket = socket_] { acceptAll(socket); }).detach();
  }
  [[nodiscard]] int port() const { return port_; }
  // While silent it takes calls and answers none.
  void beSilent(bool isSilent) { isSilent_ = isSilent; }
  [[nodiscard]] std::string known() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return listText(generation_, true, instances_);
  }

 private:
  void acceptAll(int socket) {
    for (;;) {
      const int connection = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) return;
      noDelay(connection);
      std::thread([this, connection] { serve(connection); }).detach();
    }
  }
  void serve(int connection) {
    Reader reader(connection);
    Message call;
    while (reader.read(call) == ReadEnd::Complete) {
      const auto index = valueOf(call.startLine, "index=");
      const auto wait = valueOf(call.startLine, "wait=");
      if (index)
        sleepFor(milliseconds(std::min<long>(60'000, wait.value_or(0))));  // the list of a case never changes
      std::string text;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        text = index ? listText(generation_, false, {}) : listText(generation_, true, instances_);
      }
      while (isSilent_) sleepFor(milliseconds(10));
      if (!sendAll(connection, answerText(200, text))) break;
    }
    close(connection);
  }
  static std::optional<long> valueOf(const std::string& line, const std::string& key) {
    const auto at = line.find(key);
    if (at == std::string::npos) return std::nullopt;
    return std::strtol(line.c_str() + at + key.size(), nullptr, 10);
  }

  std::mutex mutex_;
  std::vector<Instance> instances_;
  int generation_ = 1;
  std::atomic<bool> isSilent_{false};
  int socket_;
  int port_ = 0;
};

// The value of a key of deploy/balancer.toml, such as `run`.
inline std::string deployCommand(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const auto from = line.find('"') + 1;
    return line.substr(from, line.rfind('"') - from);
  }
  giveUp("deploy/balancer.toml has no " + key + "; start the case from the project's root");
}

// One sidecar process, started by the deploy file's command. Ends with this object, and with this process.
class Sidecar {
 public:
  struct Options {
    std::string folder;       // of its configuration, its log and its $TMPDIR
    std::string name = "n1";  // names the files in `folder`
    int discoveryPort = 0;
    std::string configuration;  // the configuration's keys after `discovery`
    int listener =
        -1;  // the platform's listening socket, inherited as descriptor 3; -1: the sidecar listens itself
    int consolePort = 0;      // 0: no console
    bool awaitsReady = true;  // return when GET /ready is answered 200
  };

  explicit Sidecar(const Options& options)
      : listenPort_(options.listener >= 0 ? portOf(options.listener) : freePort()),
        log_(options.folder + "/" + options.name + ".log") {
    const std::string listen = "127.0.0.1:" + std::to_string(listenPort_);
    const std::string discovery = "127.0.0.1:" + std::to_string(options.discoveryPort);
    const std::string console = "127.0.0.1:" + std::to_string(options.consolePort);
    const std::string path = options.folder + "/" + options.name + ".json";
    std::ofstream(path) << "{\"name\":\"n1\",\"listen\":\"" << listen << "\",\"discovery\":\"" << discovery
                        << "\","
                        << (options.consolePort > 0 ? "\"console\":\"" + console + "\"," : std::string())
                        << options.configuration << "}\n";
    const std::string command = deployCommand("run");
    const std::string temporary = options.folder + "/tmp";
    mkdir(temporary.c_str(), 0700);
    process_ = fork();
    if (process_ < 0) giveUp("fork");
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
      dup2(out, 1);
      dup2(out, 2);
      unsetenv("GW_FD");
      unsetenv("GW_CONSOLE");
      if (options.listener >= 0) {
        if (options.listener == 3)
          fcntl(3, F_SETFD, 0);
        else
          dup2(options.listener, 3);
        setenv("GW_FD", "3", 1);
      }
      if (options.consolePort > 0) setenv("GW_CONSOLE", console.c_str(), 1);
      setenv("GW_NAME", "n1", 1);
      setenv("GW_LISTEN", listen.c_str(), 1);
      setenv("GW_DISCOVERY", discovery.c_str(), 1);
      setenv("GW_CONFIG", path.c_str(), 1);
      setenv("TMPDIR", temporary.c_str(), 1);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    if (options.awaitsReady) waitUntilReady();
  }
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;
  ~Sidecar() { end(); }

  void end() {
    if (process_ <= 0) return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = 0;
  }
  void signal(int number) const {
    if (process_ > 0) kill(process_, number);
  }
  [[nodiscard]] int port() const { return listenPort_; }
  // Whether it still runs.
  [[nodiscard]] bool isRunning() {
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) process_ = 0;
    return process_ > 0;
  }

 private:
  void waitUntilReady() {
    const auto until = Clock::now() + std::chrono::seconds(30);
    while (Clock::now() < until) {
      if (!isRunning()) giveUp("the sidecar ended at its start; its log: " + logText());
      if (statusOfCall(listenPort_, "GET", "/ready") == 200) return;
      sleepFor(milliseconds(50));
    }
    end();
    giveUp("the sidecar did not get ready; its log: " + logText());
  }
  [[nodiscard]] std::string logText() const {
    std::ifstream file(log_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  int listenPort_;
  std::string log_;
  pid_t process_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_H_
