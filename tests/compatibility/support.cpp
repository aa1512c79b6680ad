// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "compatibility/support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <regex>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace compatibility {
namespace {

constexpr std::chrono::seconds kPatience{20};
constexpr std::chrono::milliseconds kPollPause{10};

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void writeFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw std::runtime_error("cannot write " + path);
}

std::string goldenPath(const std::string& name) {
  return std::string(IVYPOST_GOLDEN) + "/" + name;
}

sockaddr_in loopback(unsigned port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

unsigned portOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("getsockname");
  return ntohs(address.sin_port);
}

int listening() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(0);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket, 64) != 0)
    throw std::runtime_error("no listening socket");
  return socket;
}

// Bytes that `text` lacks to hold a whole message; none: the head is not whole. A body without Content-Length
// is taken to be chunked if the head says so, else empty.
bool isWhole(const std::string& text) {
  const auto end = text.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  if (text.rfind("HTTP/1.1 1", 0) == 0) return isWhole(text.substr(end + 4));
  const std::string head = text.substr(0, end);
  if (head.find("Transfer-Encoding: chunked") != std::string::npos)
    return text.find("0\r\n\r\n", end + 4) != std::string::npos;
  const auto at = head.find("Content-Length: ");
  const std::size_t length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
  return text.size() >= end + 4 + length;
}

// Reads until a whole message is there. Empty: the other side closed first, or `stop` was set.
std::string receive(int socket, const std::atomic<bool>& stop) {
  std::string text;
  while (!stop && !isWhole(text)) {
    pollfd one{socket, POLLIN, 0};
    if (::poll(&one, 1, 50) <= 0) continue;
    std::array<char, 4096> piece{};
    const auto size = ::recv(socket, piece.data(), piece.size(), 0);
    if (size <= 0) return {};
    text.append(piece.data(), static_cast<std::size_t>(size));
  }
  return stop ? std::string() : text;
}

void sendAll(int socket, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return;
    sent += static_cast<std::size_t>(size);
  }
}

}  // namespace

std::string golden(const std::string& name) {
  return readFile(goldenPath(name));
}

void expectGolden(const std::string& actual, const std::string& name) {
  if (std::getenv("IVYPOST_RECORD_GOLDEN") != nullptr) {
    writeFile(goldenPath(name), actual);
    ADD_FAILURE() << "recorded " << name;
    return;
  }
  EXPECT_EQ(actual, golden(name)) << "differs from tests/compatibility/golden/" << name;
}

std::string masked(const std::string& text, const std::string& expression, const std::string& what) {
  return std::regex_replace(text, std::regex(expression), what);
}

Folder::Folder() {
  std::string name = (std::filesystem::temp_directory_path() / "ivypost-compatibility-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
  path_ = name;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::write(const std::string& name, const std::string& text) const {
  const std::string path = path_ + "/" + name;
  writeFile(path + ".part", text);
  std::filesystem::rename(path + ".part", path);
  return path;
}

std::string Folder::read(const std::string& name) const {
  return readFile(path_ + "/" + name);
}

Process::Process(const std::vector<std::string>& command, const Environment& environment,
                 const std::string& input) {
  const std::string in = folder_.write("in", input);
  std::vector<std::string> variables;
  for (char** one = environ; *one != nullptr; ++one) {
    const std::string text = *one;
    if (text.rfind("GW_", 0) != 0 && text.rfind("TMPDIR=", 0) != 0) variables.push_back(text);
  }
  for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
  std::vector<char*> arguments, settings;
  for (const auto& one : command) arguments.push_back(const_cast<char*>(one.c_str()));
  for (const auto& one : variables) settings.push_back(const_cast<char*>(one.c_str()));
  arguments.push_back(nullptr);
  settings.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string out = folder_.path() + "/out", err = folder_.path() + "/err";
  posix_spawn_file_actions_addopen(&files, 0, in.c_str(), O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, out.c_str(), O_WRONLY | O_CREAT, 0600);
  posix_spawn_file_actions_addopen(&files, 2, err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  const int failed = ::posix_spawn(&pid_, arguments[0], &files, nullptr, arguments.data(), settings.data());
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("cannot start " + command.front());
}

Process::~Process() {
  if (code_) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Process::signal(int number) const {
  ::kill(pid_, number);
}

std::optional<int> Process::wait() {
  eventually([&] {
    int status = 0;
    if (!code_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
      code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return code_.has_value();
  });
  return code_;
}

bool Process::says(const std::string& text) const {
  const bool said = eventually([&] { return errors().find(text) != std::string::npos; });
  EXPECT_TRUE(said) << "no line with '" << text << "' in:\n" << errors();
  return said;
}

struct HttpServer::State {
  Handler handler;
  int listener = -1;
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  std::mutex mutex;

  void serve(int socket) {
    while (!stop) {
      const std::string request = receive(socket, stop);
      const std::string answer = request.empty() ? std::string() : handler(request);
      if (answer.empty()) break;
      sendAll(socket, answer);
    }
    ::close(socket);
  }

  void accept() {
    while (!stop) {
      pollfd one{listener, POLLIN, 0};
      if (::poll(&one, 1, 50) <= 0) continue;
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const std::lock_guard<std::mutex> lock(mutex);
      threads.emplace_back([this, socket] { serve(socket); });
    }
  }
};

HttpServer::HttpServer(Handler handler) : state_(std::make_shared<State>()) {
  state_->handler = std::move(handler);
  state_->listener = listening();
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->threads.emplace_back([state = state_.get()] { state->accept(); });
}

HttpServer::~HttpServer() {
  state_->stop = true;
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    threads.push_back(std::move(state_->threads.front()));
  }
  threads.front().join();  // who accepts; nobody is added after it
  for (std::size_t n = 1; n < state_->threads.size(); ++n) state_->threads[n].join();
  ::close(state_->listener);
}

std::string HttpServer::address() const {
  return "127.0.0.1:" + std::to_string(portOf(state_->listener));
}

std::string response(const std::string& status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string roundTrip(unsigned port, const std::string& bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    throw std::runtime_error("nobody listens on port " + std::to_string(port));
  }
  sendAll(socket, bytes);
  std::string text;
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!isWhole(text) && std::chrono::steady_clock::now() < until) {
    pollfd one{socket, POLLIN, 0};
    if (::poll(&one, 1, 50) <= 0) continue;
    std::array<char, 4096> piece{};
    const auto size = ::recv(socket, piece.data(), piece.size(), 0);
    if (size <= 0) break;
    text.append(piece.data(), static_cast<std::size_t>(size));
  }
  ::close(socket);
  if (!isWhole(text)) throw std::runtime_error("no whole response: " + text);
  return text;
}

std::string bodyOf(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

bool eventually(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

unsigned freePort() {
  // Stays open until this process ends. Bound without listening, it keeps the port from all others.
  const int keeper = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  const sockaddr_in address = loopback(0);
  if (::setsockopt(keeper, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(keeper, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("no free port");
  return portOf(keeper);
}

std::string toHex(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char one : bytes) {
    const auto byte = static_cast<unsigned char>(one);
    text.append(1, kDigits[byte >> 4]).append(1, kDigits[byte & 15]);
  }
  return text;
}

std::string fromHex(const std::string& digits) {
  std::string bytes;
  for (std::size_t n = 0; n + 1 < digits.size(); n += 2)
    bytes += static_cast<char>(std::stoi(digits.substr(n, 2), nullptr, 16));
  return bytes;
}

}  // namespace compatibility
