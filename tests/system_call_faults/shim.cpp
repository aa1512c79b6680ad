// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Preloaded into a process (LD_PRELOAD), gives its system calls the faults of the plan in the environment;
// each call without one goes to the C library. A fault is given instead of the call, so nothing has happened
// where an error is told, but for close(), whose descriptor is gone on Linux in any case, and connect()'s
// EINTR, behind which the connection goes on coming up (connect(2), signal(7)).
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <climits>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <optional>
#include <string>
#include <utility>

#include "plan.h"

namespace ivypost::system_call_faults {
namespace {

// Descriptors beyond have no known kind, and no faults.
constexpr std::size_t kMaxDescriptors = 65536;
// One rule's line of the file of counts, digits and text; all lines are of this length.
constexpr std::size_t kLine = 128;

std::array<std::atomic<std::uint8_t>, kMaxDescriptors> kinds;  // Kind; kNone: not looked at yet

struct State {
  Plan plan;
  std::vector<std::atomic<std::uint32_t>> seen, given;  // by rule
  char* counts = nullptr;
  std::int64_t startedMs = 0;
};
State* state = nullptr;  // set once, before main(); never freed, since calls go on till the end

template <class F>
F next(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}
// The C library's function of this name, whatever stands in front of it.
#define REAL(name) (realOf_##name())
#define DECLARE_REAL(name)                                    \
  decltype(&::name) realOf_##name() {                         \
    static const auto found = next<decltype(&::name)>(#name); \
    return found;                                             \
  }
DECLARE_REAL(accept)
DECLARE_REAL(accept4)
DECLARE_REAL(socket)
DECLARE_REAL(connect)
DECLARE_REAL(read)
DECLARE_REAL(readv)
DECLARE_REAL(recv)
DECLARE_REAL(recvfrom)
DECLARE_REAL(recvmsg)
DECLARE_REAL(write)
DECLARE_REAL(writev)
DECLARE_REAL(send)
DECLARE_REAL(sendto)
DECLARE_REAL(sendmsg)
DECLARE_REAL(epoll_wait)
DECLARE_REAL(poll)
DECLARE_REAL(getsockopt)
DECLARE_REAL(open)
DECLARE_REAL(openat)
DECLARE_REAL(close)
DECLARE_REAL(fsync)
DECLARE_REAL(fdatasync)
DECLARE_REAL(rename)

std::int64_t nowMs() {
  timespec time{};
  ::clock_gettime(CLOCK_MONOTONIC, &time);
  return time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
}

void mark(int descriptor, Kind kind) {
  if (descriptor >= 0 && static_cast<std::size_t>(descriptor) < kMaxDescriptors) kinds[descriptor] = kind;
}

std::uint8_t kindOf(int descriptor) {
  if (descriptor < 0 || static_cast<std::size_t>(descriptor) >= kMaxDescriptors) return kOther;
  if (kinds[descriptor] != kNone) return kinds[descriptor];
  struct stat status {};
  const bool isFile =
      ::fstat(descriptor, &status) == 0 && (S_ISREG(status.st_mode) || S_ISDIR(status.st_mode));
  mark(descriptor, isFile ? kFile : kOther);
  return kinds[descriptor];
}

std::string pathOf(int descriptor) {
  std::array<char, PATH_MAX> path{};
  const auto size =
      ::readlink(("/proc/self/fd/" + std::to_string(descriptor)).c_str(), path.data(), path.size() - 1);
  return {path.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

void writeCounts(std::size_t rule) {
  if (state->counts == nullptr) return;
  std::array<char, kLine + 1> line{};
  std::snprintf(line.data(), line.size(), "%10u of %10u: %-*.*s", state->given[rule].load(),
                state->seen[rule].load(), static_cast<int>(kLine - 27), static_cast<int>(kLine - 27),
                state->plan.rules[rule].text.c_str());
  line[kLine - 1] = '\n';
  std::memcpy(state->counts + rule * kLine, line.data(), kLine);
}

// The rule whose fault this call gets, if any. Sleeps by itself.
const Rule* faultFor(Call call, std::uint8_t kind, int descriptor = -1, const char* path = nullptr) {
  if (state == nullptr) return nullptr;
  const int kept = errno;
  const Rule* chosen = nullptr;
  for (std::size_t n = 0; n < state->plan.rules.size(); ++n) {
    const Rule& rule = state->plan.rules[n];
    if (!rule.hasCall(call) || (rule.kinds & kind) == 0) continue;
    if (!rule.path.empty()) {
      const std::string on = path != nullptr ? path : pathOf(descriptor);
      if (!on.starts_with(rule.path)) continue;
    }
    const auto since = nowMs() - state->startedMs;
    if (since < rule.afterMs || since >= rule.untilMs) continue;
    const std::uint32_t number = ++state->seen[n];
    const bool draws = chosen == nullptr && rule.draws(state->plan.seed + n, number);
    if (draws) ++state->given[n];
    writeCounts(n);
    if (!draws) continue;
    if (rule.fault == Rule::Fault::Sleep) {
      timespec left{static_cast<time_t>(rule.sleepMs / 1000),
                    static_cast<long>(rule.sleepMs % 1000) * 1'000'000};
      while (::nanosleep(&left, &left) != 0 && errno == EINTR) {
      }
    } else {
      chosen = &rule;
    }
  }
  errno = kept;
  return chosen;
}

// Behind the call.
template <class Result>
Result done(const Rule* rule, Result result) {
  if (rule != nullptr && rule->fault == Rule::Fault::Kill) ::kill(::getpid(), SIGKILL);
  return result;
}

bool isError(const Rule* rule) {
  return rule != nullptr && rule->fault == Rule::Fault::Errno;
}

bool isShort(const Rule* rule) {
  return rule != nullptr && rule->fault == Rule::Fault::Short;
}

std::optional<int> fail(const Rule* rule) {
  if (!isError(rule)) return std::nullopt;
  errno = rule->error;
  return -1;
}

std::size_t cut(const Rule* rule, std::size_t size) {
  return isShort(rule) ? std::min(size, rule->bytes) : size;
}

// The first buffers of a list, cut to a short count; a list of one at the most.
std::pair<iovec, int> cut(const Rule& rule, const iovec* list, std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) {
    if (list[n].iov_len > 0) return {{list[n].iov_base, std::min(list[n].iov_len, rule.bytes)}, 1};
  }
  return {{}, 0};
}

// What was opened; its kind is looked at when it is used.
int opened(const Rule* rule, int descriptor) {
  mark(descriptor, kNone);
  return done(rule, descriptor);
}

void openCounts(State& fresh) {
  const std::size_t size = fresh.plan.rules.size() * kLine;
  if (fresh.plan.counts.empty() || size == 0) return;
  const int file = ::open64(fresh.plan.counts.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  void* map = MAP_FAILED;
  if (file >= 0 && ::ftruncate(file, static_cast<off_t>(size)) == 0)
    map = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  if (map == MAP_FAILED)
    throw PlanError(std::string(kVariable) + ": 'counts=" + fresh.plan.counts + "': " + std::strerror(errno));
  ::close(file);
  fresh.counts = static_cast<char*>(map);
}

__attribute__((constructor)) void begin() {
  const char* text = std::getenv(kVariable);
  if (text == nullptr) return;
  try {
    auto* fresh = new State;
    fresh->plan = readPlan(text);
    fresh->seen = std::vector<std::atomic<std::uint32_t>>(fresh->plan.rules.size());
    fresh->given = std::vector<std::atomic<std::uint32_t>>(fresh->plan.rules.size());
    openCounts(*fresh);
    fresh->startedMs = nowMs();
    state = fresh;
    for (std::size_t n = 0; n < fresh->plan.rules.size(); ++n) writeCounts(n);
  } catch (const PlanError& bad) {
    std::fprintf(stderr, "%s\n", bad.what());
    ::_exit(kBadPlanExit);
  }
}

}  // namespace
}  // namespace ivypost::system_call_faults

using namespace ivypost::system_call_faults;

// NOLINTBEGIN: the C library's names and forms.
extern "C" {

int accept(int fd, sockaddr* address, socklen_t* size) {
  const Rule* rule = faultFor(Call::Accept, kListener, fd);
  if (const auto error = fail(rule)) return *error;
  const int result = REAL(accept)(fd, address, size);
  mark(result, kAccepted);
  return done(rule, result);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  const Rule* rule = faultFor(Call::Accept4, kListener, fd);
  if (const auto error = fail(rule)) return *error;
  const int result = REAL(accept4)(fd, address, size, flags);
  mark(result, kAccepted);
  return done(rule, result);
}

int socket(int domain, int type, int protocol) noexcept {
  const Rule* rule = faultFor(Call::Socket, kListener);
  if (const auto error = fail(rule)) return *error;
  const int result = REAL(socket)(domain, type, protocol);
  const bool datagram = (type & 0xf) == SOCK_DGRAM && (domain == AF_INET || domain == AF_INET6);
  mark(result, datagram ? kDatagram : kOther);
  return done(rule, result);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  if ((kindOf(fd) & kDatagram) == 0) mark(fd, kConnected);
  const Rule* rule = faultFor(Call::Connect, kindOf(fd), fd);
  if (!isError(rule)) return done(rule, REAL(connect)(fd, address, size));
  if (rule->error == EINTR && REAL(connect)(fd, address, size) != 0 && errno != EINPROGRESS) return -1;
  errno = rule->error;
  return -1;
}

ssize_t read(int fd, void* data, size_t size) {
  const Rule* rule = faultFor(Call::Read, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(read)(fd, data, cut(rule, size)));
}

ssize_t readv(int fd, const iovec* list, int count) {
  const Rule* rule = faultFor(Call::Readv, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  if (!isShort(rule)) return done(rule, REAL(readv)(fd, list, count));
  const auto [one, ones] = cut(*rule, list, static_cast<std::size_t>(count));
  return REAL(readv)(fd, &one, ones);
}

ssize_t recv(int fd, void* data, size_t size, int flags) {
  const Rule* rule = faultFor(Call::Recv, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(recv)(fd, data, cut(rule, size), flags));
}

ssize_t recvfrom(int fd, void* data, size_t size, int flags, sockaddr* from, socklen_t* length) {
  const Rule* rule = faultFor(Call::Recvfrom, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(recvfrom)(fd, data, cut(rule, size), flags, from, length));
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  const Rule* rule = faultFor(Call::Recvmsg, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  if (!isShort(rule)) return done(rule, REAL(recvmsg)(fd, message, flags));
  auto [one, ones] = cut(*rule, message->msg_iov, message->msg_iovlen);
  msghdr less = *message;
  less.msg_iov = &one;
  less.msg_iovlen = static_cast<std::size_t>(ones);
  const ssize_t result = REAL(recvmsg)(fd, &less, flags);
  message->msg_flags = less.msg_flags;
  message->msg_namelen = less.msg_namelen;
  message->msg_controllen = less.msg_controllen;
  return result;
}

ssize_t write(int fd, const void* data, size_t size) {
  const Rule* rule = faultFor(Call::Write, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(write)(fd, data, cut(rule, size)));
}

ssize_t writev(int fd, const iovec* list, int count) {
  const Rule* rule = faultFor(Call::Writev, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  if (!isShort(rule)) return done(rule, REAL(writev)(fd, list, count));
  const auto [one, ones] = cut(*rule, list, static_cast<std::size_t>(count));
  return REAL(writev)(fd, &one, ones);
}

ssize_t send(int fd, const void* data, size_t size, int flags) {
  const Rule* rule = faultFor(Call::Send, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(send)(fd, data, cut(rule, size), flags));
}

ssize_t sendto(int fd, const void* data, size_t size, int flags, const sockaddr* to, socklen_t length) {
  const Rule* rule = faultFor(Call::Sendto, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(sendto)(fd, data, cut(rule, size), flags, to, length));
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  const Rule* rule = faultFor(Call::Sendmsg, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  if (!isShort(rule)) return done(rule, REAL(sendmsg)(fd, message, flags));
  auto [one, ones] = cut(*rule, message->msg_iov, message->msg_iovlen);
  msghdr less = *message;
  less.msg_iov = &one;
  less.msg_iovlen = static_cast<std::size_t>(ones);
  return REAL(sendmsg)(fd, &less, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  const Rule* rule = faultFor(Call::EpollWait, kListener, fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(epoll_wait)(fd, events, most, timeout));
}

int poll(pollfd* list, nfds_t count, int timeout) {
  const Rule* rule = faultFor(Call::Poll, kListener);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(poll)(list, count, timeout));
}

int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
  const bool isPendingError = level == SOL_SOCKET && name == SO_ERROR && *size >= sizeof(int);
  const Rule* rule = isPendingError ? faultFor(Call::Getsockopt, kindOf(fd), fd) : nullptr;
  const int result = REAL(getsockopt)(fd, level, name, value, size);
  if (isError(rule) && result == 0) std::memcpy(value, &rule->error, sizeof(int));
  return done(rule, result);
}

int open(const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const Rule* rule = faultFor(Call::Open, kFile, -1, path);
  if (const auto error = fail(rule)) return *error;
  return opened(rule, REAL(open)(path, flags, mode));
}

int open64(const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const Rule* rule = faultFor(Call::Open, kFile, -1, path);
  if (const auto error = fail(rule)) return *error;
  return opened(rule, REAL(open)(path, flags | O_LARGEFILE, mode));
}

int openat(int folder, const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const Rule* rule = faultFor(Call::Open, kFile, -1, path);
  if (const auto error = fail(rule)) return *error;
  return opened(rule, REAL(openat)(folder, path, flags, mode));
}

int close(int fd) {
  const Rule* rule = faultFor(Call::Close, kindOf(fd), fd);
  mark(fd, kNone);
  const int result = REAL(close)(fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, result);
}

int fsync(int fd) {
  const Rule* rule = faultFor(Call::Fsync, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(fsync)(fd));
}

int fdatasync(int fd) {
  const Rule* rule = faultFor(Call::Fdatasync, kindOf(fd), fd);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(fdatasync)(fd));
}

int rename(const char* from, const char* to) noexcept {
  const Rule* rule = faultFor(Call::Rename, kFile, -1, to);
  if (const auto error = fail(rule)) return *error;
  return done(rule, REAL(rename)(from, to));
}

}  // extern "C"
// NOLINTEND
