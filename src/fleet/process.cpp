// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fleet/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/read_until.hpp>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <istream>
#include <sstream>
#include <system_error>
#include <utility>

namespace ivypost::fleet {
namespace {

constexpr std::size_t kMaxLine = 64UL * 1024;  // of its log; a longer one ends the reading

}  // namespace

struct Process::Log : std::enable_shared_from_this<Log> {
  Log(boost::asio::io_context& io, int descriptor, std::function<void(const std::string&)> callback)
      : stream(io, descriptor), buffer(kMaxLine), line(std::move(callback)) {}

  void read() {
    boost::asio::async_read_until(stream, buffer, '\n',
                                  [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                                    // Closed, so that the child is not held up by a pipe that nobody reads.
                                    boost::system::error_code ignored;
                                    if (failed) self->stream.close(ignored);
                                    if (failed || !self->line) return;
                                    std::istream text(&self->buffer);
                                    std::string one;
                                    std::getline(text, one);
                                    self->line(one);
                                    self->read();
                                  });
  }

  boost::asio::posix::stream_descriptor stream;
  boost::asio::streambuf buffer;
  std::function<void(const std::string&)> line;
};

Process::Process(boost::asio::io_context& io, const std::string& program,
                 const std::vector<std::string>& arguments, const std::vector<std::string>& environment,
                 std::function<void(const std::string&)> line) {
  std::array<int, 2> pipe{};
  if (::pipe2(pipe.data(), O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
  // All that the child needs is made ready here: behind fork() it may only call the kernel.
  const auto pointers = [](const std::vector<std::string>& texts, std::vector<char*> list = {}) {
    for (const std::string& one : texts) list.push_back(const_cast<char*>(one.c_str()));
    list.push_back(nullptr);
    return list;
  };
  const auto environ = pointers(environment);
  const auto argv = pointers(arguments, {const_cast<char*>(program.c_str())});
  const pid_t parent = ::getpid();
  id_ = ::fork();
  if (id_ < 0) {
    const int error = errno;
    ::close(pipe[0]);
    ::close(pipe[1]);
    throw std::system_error(error, std::generic_category(), "fork");
  }
  if (id_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);  // it died in between
    ::setpgid(0, 0);  // Ctrl-C is for the parent alone, which ends its children in order
    ::dup2(pipe[1], STDERR_FILENO);
    // Asio's sockets are not closed by exec: a listener that lived on here would answer for a node that is
    // dead.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(program.c_str(), argv.data(), environ.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  log_ = std::make_shared<Log>(io, pipe[0], std::move(line));
  log_->read();
}

Process::~Process() {
  log_->line = nullptr;
  boost::system::error_code ignored;
  log_->stream.close(ignored);
  if (code_) return;
  ::kill(id_, SIGKILL);
  int status = 0;
  while (::waitpid(id_, &status, 0) < 0 && errno == EINTR) {
  }
}

void Process::signal(int number) const {
  if (!code_) ::kill(id_, number);
}

std::optional<int> Process::ended() {
  if (code_) return code_;
  usage();
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return code_;
}

std::int64_t Process::processor() const {
  clockid_t clock{};
  timespec used{};
  if (code_ || ::clock_getcpuclockid(id_, &clock) != 0 || ::clock_gettime(clock, &used) != 0) return 0;
  return static_cast<std::int64_t>(used.tv_sec) * 1'000'000 + used.tv_nsec / 1000;
}

Process::Usage Process::usage() {
  if (code_) return last_;
  const std::string at = "/proc/" + std::to_string(id_);
  std::ifstream stat(at + "/stat");
  std::string text;
  std::getline(stat, text);
  // proc(5): fields 14 and 15 are the ticks in user and kernel mode; the name in brackets may hold anything.
  const std::size_t bracket = text.rfind(')');
  if (bracket != std::string::npos) {
    std::istringstream fields(text.substr(bracket + 1));
    std::string skipped;
    for (int n = 3; n < 14; ++n) fields >> skipped;
    double user = 0, kernel = 0;
    if (fields >> user >> kernel)
      last_.cpuSeconds = (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  std::ifstream status(at + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) != 0) continue;
    std::size_t kilobytes = 0;
    std::istringstream(line.substr(6)) >> kilobytes;
    last_.peakBytes = std::max(last_.peakBytes, kilobytes * 1024);
  }
  return last_;
}

}  // namespace ivypost::fleet
