// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "plan.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <limits>
#include <utility>

namespace ivypost::system_call_faults {
namespace {

using Calls = std::vector<Call>;

constexpr std::array<std::pair<std::string_view, Call>, static_cast<std::size_t>(Call::Count)> kCalls = {{
    {"accept", Call::Accept},
    {"accept4", Call::Accept4},
    {"socket", Call::Socket},
    {"connect", Call::Connect},
    {"read", Call::Read},
    {"readv", Call::Readv},
    {"recv", Call::Recv},
    {"recvfrom", Call::Recvfrom},
    {"recvmsg", Call::Recvmsg},
    {"write", Call::Write},
    {"writev", Call::Writev},
    {"send", Call::Send},
    {"sendto", Call::Sendto},
    {"sendmsg", Call::Sendmsg},
    {"epoll_wait", Call::EpollWait},
    {"poll", Call::Poll},
    {"getsockopt", Call::Getsockopt},
    {"open", Call::Open},
    {"close", Call::Close},
    {"fsync", Call::Fsync},
    {"fdatasync", Call::Fdatasync},
    {"rename", Call::Rename},
}};

const Calls kReads = {Call::Read, Call::Readv, Call::Recv, Call::Recvfrom, Call::Recvmsg};
const Calls kWrites = {Call::Write, Call::Writev, Call::Send, Call::Sendto, Call::Sendmsg};
const Calls kAccepts = {Call::Accept, Call::Accept4};
const Calls kFileCalls = {Call::Open,  Call::Write,     Call::Writev, Call::Fsync,
                          Call::Close, Call::Fdatasync, Call::Rename};

struct ErrorName {
  std::string_view name;
  int error;
};
constexpr std::array<ErrorName, 17> kErrors = {{{"ECONNABORTED", ECONNABORTED},
                                                {"EMFILE", EMFILE},
                                                {"ENFILE", ENFILE},
                                                {"ENOBUFS", ENOBUFS},
                                                {"ENOMEM", ENOMEM},
                                                {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                {"ENETUNREACH", ENETUNREACH},
                                                {"ENETDOWN", ENETDOWN},
                                                {"EINTR", EINTR},
                                                {"ETIMEDOUT", ETIMEDOUT},
                                                {"EHOSTUNREACH", EHOSTUNREACH},
                                                {"ECONNRESET", ECONNRESET},
                                                {"ECONNREFUSED", ECONNREFUSED},
                                                {"EPROTO", EPROTO},
                                                {"EPIPE", EPIPE},
                                                {"ENOSPC", ENOSPC},
                                                {"EIO", EIO}}};

// What the manual pages (sections 2 and 7: accept, socket, connect, recv, send, epoll_wait, poll, socket,
// tcp, udp, ip, open, write, fsync, close, rename) let a call return on such a descriptor.
struct Documented {
  Calls calls;
  std::uint8_t kinds;
  std::vector<int> errors;
};
const std::array<Documented, 13> kDocumented = {{
    // accept(2): errors that stand on the new connection are passed on, too.
    {kAccepts,
     kListener,
     {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH, ENETUNREACH,
      ETIMEDOUT}},
    {{Call::Socket}, kListener, {EMFILE, ENFILE, ENOBUFS, ENOMEM}},
    {{Call::Connect},
     kConnected,
     {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, EINTR, ENOBUFS}},
    {kReads, kStream, {EINTR, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOMEM, ENOBUFS}},
    {kReads, kDatagram, {EINTR, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH, ENOMEM, ENOBUFS}},
    {kWrites, kStream, {EINTR, ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOMEM, ENOBUFS}},
    {kWrites, kDatagram, {EINTR, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH, ENETDOWN, ENOMEM, ENOBUFS}},
    {{Call::EpollWait}, kListener, {EINTR}},
    {{Call::Poll}, kListener, {EINTR, ENOMEM}},
    // The error that stands on the socket (SO_ERROR), as connect() leaves it there.
    {{Call::Getsockopt}, kConnected, {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNREFUSED, ECONNRESET}},
    {{Call::Open}, kFile, {EMFILE, ENFILE, ENOMEM, ENOSPC, EINTR, EIO}},
    {{Call::Read, Call::Readv, Call::Write, Call::Writev}, kFile, {ENOSPC, EIO, EINTR}},
    {{Call::Fsync, Call::Fdatasync, Call::Close, Call::Rename}, kFile, {ENOSPC, EIO, EINTR, ENOMEM}},
}};

bool holds(const Calls& calls, Call call) {
  return std::find(calls.begin(), calls.end(), call) != calls.end();
}

class Reader {
 public:
  explicit Reader(std::string_view item) : item_(item) {}

  Rule read() {
    rule_.text = std::string(item_);
    std::string_view rest = item_;
    const std::string_view call = word(rest), fault = word(rest);
    readCalls(call);
    readFault(fault);
    if (call == "files") rule_.kinds &= kFile;
    if (call == "reads" || call == "writes") rule_.kinds &= kSocket;
    while (true) {
      const std::string_view option = word(rest);
      if (option.empty()) break;
      readOption(option);
    }
    if (rule_.kinds == 0) fail("the fault is not documented for this call and descriptor");
    if (rule_.from > rule_.to) fail("'from' is greater than 'to'");
    return std::move(rule_);
  }

  static std::uint64_t number(std::string_view item, std::string_view text, std::uint64_t least,
                              std::uint64_t most) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < least || value > most)
      fail(item, "'" + std::string(text) + "' is no number from " + std::to_string(least) + " to " +
                     std::to_string(most));
    return value;
  }

  [[noreturn]] static void fail(std::string_view item, const std::string& why) {
    throw PlanError(std::string(kVariable) + ": '" + std::string(item) + "': " + why);
  }

 private:
  [[noreturn]] void fail(const std::string& why) const { fail(item_, why); }

  static std::string_view word(std::string_view& rest) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto end = std::min(rest.find(' '), rest.size());
    const auto found = rest.substr(0, end);
    rest.remove_prefix(end);
    return found;
  }

  void readCalls(std::string_view name) {
    if (name == "reads") rule_.calls = kReads;
    if (name == "writes") rule_.calls = kWrites;
    if (name == "accepts") rule_.calls = kAccepts;
    if (name == "files") rule_.calls = kFileCalls;
    for (const auto& [known, call] : kCalls) {
      if (known == name) rule_.calls = {call};
    }
    if (rule_.calls.empty()) fail("there is no call '" + std::string(name) + "'");
  }

  void readFault(std::string_view fault) {
    if (fault == "kill") {
      rule_.fault = Rule::Fault::Kill;
      rule_.kinds = kFile | kSocket | kListener;
    } else if (fault.starts_with("sleep=")) {
      rule_.fault = Rule::Fault::Sleep;
      rule_.kinds = kFile | kSocket | kListener;
      rule_.sleepMs = static_cast<std::uint32_t>(number(item_, fault.substr(6), 1, 60'000));
    } else if (fault == "short") {
      readShort();
    } else {
      readError(fault);
    }
  }

  // recv(2), send(2), read(2), write(2): of streams and files; a datagram goes whole or not at all.
  void readShort() {
    rule_.fault = Rule::Fault::Short;
    for (const Call call : rule_.calls) {
      if (holds(kReads, call) || holds(kWrites, call)) rule_.kinds = kStream | kFile;
    }
  }

  void readError(std::string_view name) {
    const auto found =
        std::find_if(kErrors.begin(), kErrors.end(), [&](const auto& e) { return e.name == name; });
    if (found == kErrors.end()) fail("there is no fault '" + std::string(name) + "'");
    rule_.error = found->error;
    for (const auto& known : kDocumented) {
      if (std::find(known.errors.begin(), known.errors.end(), rule_.error) == known.errors.end()) continue;
      for (const Call call : rule_.calls) {
        if (holds(known.calls, call)) rule_.kinds |= known.kinds;
      }
    }
  }

  void readOption(std::string_view option) {
    const auto equals = std::min(option.find('='), option.size());
    const auto name = option.substr(0, equals);
    const auto value = option.substr(std::min(equals + 1, option.size()));
    const auto figure = [&](std::uint32_t least = 1) {
      return static_cast<std::uint32_t>(number(item_, value, least, UINT32_MAX));
    };
    if (name == "every") {
      rule_.every = figure();
    } else if (name == "from") {
      rule_.from = figure();
    } else if (name == "to") {
      rule_.to = figure();
    } else if (name == "at") {
      rule_.from = rule_.to = figure();
    } else if (name == "after") {
      rule_.afterMs = figure(0);
    } else if (name == "until") {
      rule_.untilMs = figure();
    } else if (name == "bytes") {
      rule_.bytes = figure();
    } else if (name == "path" && !value.empty()) {
      rule_.path = std::string(value);
      rule_.kinds &= kFile;
    } else if (name == "of" && value == "connected") {
      rule_.kinds &= kConnected;
    } else if (name == "of" && value == "accepted") {
      rule_.kinds &= kAccepted;
    } else if (name == "of" && value == "datagram") {
      rule_.kinds &= kDatagram;
    } else {
      fail("there is no option '" + std::string(option) + "'");
    }
  }

  std::string_view item_;
  Rule rule_;
};

// splitmix64: spreads consecutive numbers evenly.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

bool Rule::hasCall(Call call) const {
  return holds(calls, call);
}

bool Rule::draws(std::uint64_t seed, std::uint32_t number) const {
  return number >= from && number <= to && mix(mix(seed) + number) % every == 0;
}

Plan readPlan(std::string_view text) {
  Plan plan;
  while (!text.empty()) {
    const auto end = std::min(text.find(';'), text.size());
    std::string_view item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    while (item.ends_with(' ')) item.remove_suffix(1);
    if (item.starts_with("counts=")) {
      plan.counts = std::string(item.substr(7));
    } else if (item.starts_with("seed=")) {
      plan.seed = Reader::number(item, item.substr(5), 0, std::numeric_limits<std::uint64_t>::max());
    } else {
      plan.rules.push_back(Reader(item).read());
    }
  }
  return plan;
}

}  // namespace ivypost::system_call_faults
