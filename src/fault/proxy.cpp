// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/proxy.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "fault/clock.h"

namespace ivypost::fault {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kReadSize = 16UL * 1024;
constexpr int kBacklog = 1024;
// With no room or no descriptors left, accepting waits this long.
constexpr milliseconds kAcceptPause{10};
// Connections that fill a backlog of 0: one is enough for TCP, and more does no harm.
constexpr int kFillers = 4;
// A port that was given up to refuse is bound again at once; another program may hold it for a moment.
constexpr int kBindTries = 50;

[[noreturn]] void fail(const char* what) {
  throw boost::system::system_error(error_code(errno, boost::system::system_category()), what);
}

bool isUnix(const Address& address) {
  return address.protocol().family() == AF_UNIX;
}

// Each write goes out at once, so that pieces arrive as they were split; no matter for a Unix socket.
// Straight to the kernel: g++ 12 takes an error_code that Asio fills in here for a dangling pointer.
void noDelay(Stream::socket& socket) {
  const int on = 1;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Whether the other side of a socket that isn't read has closed it: its FIN has come, or a reset.
bool left(Stream::socket& socket) {
  if (socket.local_endpoint().protocol().family() == AF_UNIX) return false;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return true;
  return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

}  // namespace

Address parseAddress(const std::string& text) {
  const auto bad = [&](const char* why) {
    return std::invalid_argument("'" + text.substr(0, 120) + "' " + why);
  };
  if (text.rfind("unix:", 0) == 0) {
    std::string path = text.substr(5);
    if (path.empty()) throw bad("names no path");
    if (path.size() >= sizeof(sockaddr_un::sun_path)) throw bad("is too long for a Unix socket (107 bytes)");
    if (path.front() == '@') path.front() = '\0';
    return asio::local::stream_protocol::endpoint(path);
  }
  const std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon == std::string::npos ? 0 : colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  error_code error;
  const auto address = asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const char* const first = colon == std::string::npos ? last : text.data() + colon + 1;
  const auto [end, failure] = std::from_chars(first, last, port);
  if (error || failure != std::errc() || end != last)
    throw bad("is no address; allowed is 127.0.0.1:80, [::1]:80, unix:/path and unix:@name");
  return asio::ip::tcp::endpoint(address, port);
}

std::string formatAddress(const Address& address) {
  if (isUnix(address)) {
    asio::local::stream_protocol::endpoint local;
    // The path's length is taken at resize(), which looks at its first byte.
    std::memcpy(local.data(), address.data(), address.size());
    local.resize(address.size());
    std::string path = local.path();
    if (!path.empty() && path.front() == '\0') path.front() = '@';
    return "unix:" + path;
  }
  asio::ip::tcp::endpoint tcp;
  tcp.resize(address.size());
  std::memcpy(tcp.data(), address.data(), address.size());
  const std::string host = tcp.address().to_string();
  return (tcp.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(tcp.port());
}

// One connection and the one that it is passed on to.
class Proxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Proxy& owner, Stream::socket client, std::uint64_t number, const Rule* rule)
      : owner_(&owner),
        number_(number),
        engine_(rule, owner.options_.seed, number, now()),
        timer_(owner.io_),
        sockets_{std::move(client), Stream::socket(owner.io_)} {}

  void start() {
    noDelay(client());
    if (engine_.refused()) {
      report();
      return abort(Side::Both);
    }
    pump();
  }

  void replace(const Rule* rule) {
    engine_.replace(rule, now());
    pump();
  }
  void command(const std::string& name) {
    engine_.command(name, now());
    pump();
  }
  // Its client has gone, and nobody reads what would tell so.
  bool abandoned() { return engine_.room(Direction::Request) == 0 && left(client()); }

  Open describe() const {
    return {number_, read_[0], read_[1], engine_.held(Direction::Request) + engine_.held(Direction::Answer)};
  }

  // Nobody is called back any more.
  void abort(Side side) {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();  // the owner's may be the last
    if (side != Side::Server) linger(client());
    if (side != Side::Client) linger(server());
    error_code ignored;
    timer_.cancel();
    for (auto& socket : sockets_) socket.close(ignored);
    std::exchange(owner_, nullptr)->links_.erase(number_);
  }

 private:
  Stream::socket& client() { return sockets_[0]; }
  Stream::socket& server() { return sockets_[1]; }
  // Where a direction's bytes come from, and go.
  Stream::socket& source(Direction d) { return d == Direction::Request ? client() : server(); }
  Stream::socket& target(Direction d) { return d == Direction::Request ? server() : client(); }

  // A close after this sends RST in place of FIN.
  static void linger(Stream::socket& socket) {
    error_code ignored;
    if (socket.is_open()) socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }

  void dial() {
    dialled_ = true;
    const Address& to = owner_->options_.to;
    error_code error;
    server().open(to.protocol(), error);
    if (error) return unreachable();
    server().async_connect(to, [self = shared_from_this()](error_code failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->unreachable();
      noDelay(self->server());
      self->connected_ = true;
      self->pump();
    });
  }

  void unreachable() {
    ++owner_->counts_.unreachable;
    abort(Side::Client);
  }

  // Does whatever can be done now; called after each event.
  void pump() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    engine_.advance(now());
    report();
    if (!dialled_ && !engine_.silent()) dial();
    for (const Direction d : {Direction::Request, Direction::Answer}) {
      if (owner_ != nullptr) write(d);
      if (owner_ != nullptr) read(d);
    }
    if (owner_ == nullptr) return;
    if (engine_.finished() && !writing_[0] && !writing_[1]) return close();
    arm();
  }

  void close() {
    error_code ignored;
    client().shutdown(asio::socket_base::shutdown_send, ignored);
    server().shutdown(asio::socket_base::shutdown_send, ignored);
    // Bytes that were never read would turn the FIN into a reset.
    std::array<char, 4096> rest{};
    for (auto& socket : sockets_) {
      while (socket.is_open() && ::recv(socket.native_handle(), rest.data(), rest.size(), MSG_DONTWAIT) ==
                                     static_cast<ssize_t>(rest.size())) {
      }
    }
    timer_.cancel();
    const auto self = shared_from_this();
    for (auto& socket : sockets_) socket.close(ignored);
    std::exchange(owner_, nullptr)->links_.erase(number_);
  }

  void arm() {
    auto at = engine_.nextStep();
    for (const Direction d : {Direction::Request, Direction::Answer}) {
      // What waits for its socket, and not for a time, is taken when that is ready.
      const bool waits = writing_[static_cast<std::size_t>(d)] || (d == Direction::Request && !connected_);
      if (const auto due = engine_.due(d); due && !waits) at = std::min(at.value_or(*due), *due);
    }
    if (!at) return;
    timer_.expires_at(Clock::time_point(microseconds(*at)));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) self->pump();
    });
  }

  void read(Direction d) {
    const auto n = static_cast<std::size_t>(d);
    const std::size_t room = std::min(engine_.room(d), kReadSize);
    if (reading_[n] || ended_[n] || room == 0 || (d == Direction::Answer && !connected_)) return;
    reading_[n] = true;
    buffers_[n].resize(kReadSize);
    source(d).async_read_some(
        asio::buffer(buffers_[n].data(), room),
        [self = shared_from_this(), d, n](error_code error, std::size_t size) {
          self->reading_[n] = false;
          if (self->owner_ == nullptr) return;
          if (error) {
            self->ended_[n] = true;
            if (error == asio::error::eof) {
              self->engine_.end(d, now());
            } else {
              self->engine_.broken(d, now());
            }
          } else {
            self->read_[n] += size;
            (n == 0 ? self->owner_->counts_.requestBytes : self->owner_->counts_.answerBytes) += size;
            self->engine_.feed(d, {self->buffers_[n].data(), size}, now());
          }
          self->pump();
        });
  }

  void write(Direction d) {
    const auto n = static_cast<std::size_t>(d);
    while (owner_ != nullptr && !writing_[n] && (connected_ || d == Direction::Answer)) {
      auto output = engine_.take(d, now());
      if (!output) return;
      switch (output->kind) {
        case Output::Kind::Fin: {
          error_code ignored;
          target(d).shutdown(asio::socket_base::shutdown_send, ignored);
          break;
        }
        case Output::Kind::Reset:
          return abort(output->side);
        case Output::Kind::Write:
          writing_[n] = true;
          out_[n] = std::move(output->bytes);
          asio::async_write(target(d), asio::buffer(out_[n]),
                            [self = shared_from_this(), n](error_code error, std::size_t) {
                              self->writing_[n] = false;
                              if (self->owner_ == nullptr) return;
                              if (error) return self->abort(Side::Both);
                              self->pump();
                            });
      }
    }
  }

  void report() {
    for (const Done& done : engine_.takeLog()) {
      ++owner_->counts_.faults[done.action];
      if (owner_->options_.log) owner_->options_.log(number_, done);
    }
  }

  Proxy* owner_;  // none once it is closed
  const std::uint64_t number_;
  Connection engine_;
  asio::steady_timer timer_;
  std::array<Stream::socket, 2> sockets_;
  std::array<std::string, 2> buffers_, out_;
  std::array<std::uint64_t, 2> read_{};
  std::array<bool, 2> reading_{}, writing_{}, ended_{};
  bool dialled_ = false, connected_ = false;
};

Proxy::Proxy(asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), address_(options_.listen), retry_(io) {
  if (isUnix(address_)) {
    const std::string path = formatAddress(address_).substr(5);
    struct stat file {};
    if (path.front() != '@' && ::lstat(path.c_str(), &file) == 0 && S_ISSOCK(file.st_mode))
      ::unlink(path.c_str());
  }
  open(true, kBacklog);
  address_ = listener_->local_endpoint();
  accept();
  listen(options_.plan.listener);
}

// NOLINTNEXTLINE(bugprone-exception-escape): only want of memory can throw here, and may end the program.
Proxy::~Proxy() {
  const auto links = links_;
  for (const auto& [number, link] : links) link->abort(Side::Both);
  if (!isUnix(address_)) return;
  const std::string path = formatAddress(address_).substr(5);
  if (path.front() != '@') ::unlink(path.c_str());
}

void Proxy::open(bool listening, int backlog) {
  if (listener_) {
    error_code ignored;
    listener_->close(ignored);
    if (isUnix(address_)) {
      const std::string path = formatAddress(address_).substr(5);
      if (path.front() != '@') ::unlink(path.c_str());
    }
  }
  listener_ = std::make_shared<Stream::socket>(io_, address_.protocol());
  listener_->set_option(asio::socket_base::reuse_address(true));
  if (options_.receiveBuffer > 0)
    listener_->set_option(asio::socket_base::receive_buffer_size(options_.receiveBuffer));
  for (int tries = 1;; ++tries) {
    error_code error;
    listener_->bind(address_, error);
    if (!error) break;
    if (error != asio::error::address_in_use || tries == kBindTries)
      throw boost::system::system_error(error, "bind");
    ::usleep(1000);
  }
  listener_->non_blocking(true);
  if (listening && ::listen(listener_->native_handle(), backlog) != 0) fail("listen");
}

void Proxy::listen(Listener mode) {
  if (mode == mode_) return;
  if (mode == Listener::Reject) {
    open(false, 0);
  } else {
    if (mode_ == Listener::Reject) open(true, kBacklog);
    const int backlog = mode == Listener::Full ? 0 : kBacklog;
    if (::listen(listener_->native_handle(), backlog) != 0) fail("listen");
  }
  mode_ = mode;
  fillers_.clear();
  if (mode == Listener::Full) fill();
  if (mode == Listener::Accept) accept();
}

// Fills the backlog with connections of our own, so that the kernel answers no other.
void Proxy::fill() {
  for (int n = 0; n < kFillers; ++n) {
    Stream::socket filler(io_, address_.protocol());
    filler.non_blocking(true);
    if (::connect(filler.native_handle(), address_.data(), static_cast<socklen_t>(address_.size())) != 0 &&
        errno != EINPROGRESS && errno != EAGAIN)
      fail("connect");
    fillers_.push_back(std::move(filler));
  }
}

void Proxy::accept() {
  if (std::exchange(waiting_, listener_) == listener_) return;  // it is waited on already
  listener_->async_wait(asio::socket_base::wait_read, [this, listener = listener_](error_code error) {
    if (error || listener != listener_) return;
    waiting_.reset();
    if (mode_ != Listener::Accept) return;
    for (;;) {
      if (links_.size() >= kMaxConnections && !makeRoom()) break;
      const int descriptor = ::accept4(listener->native_handle(), nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0 && (errno == ECONNABORTED || errno == EINTR)) continue;
      if (descriptor < 0 && errno == EAGAIN) return accept();
      if (descriptor < 0) break;
      admit(Stream::socket(io_, address_.protocol(), descriptor));
    }
    retry_.expires_after(kAcceptPause);
    retry_.async_wait([this](error_code cancelled) {
      if (!cancelled && mode_ == Listener::Accept) accept();
    });
  });
}

void Proxy::admit(Stream::socket socket) {
  const std::uint64_t number = ++counts_.accepted;
  const Rule* const rule = ruleFor(options_.plan, options_.seed, number);
  const auto link = std::make_shared<Link>(*this, std::move(socket), number, rule);
  links_.emplace(number, link);
  link->start();
}

bool Proxy::makeRoom() {
  for (const auto& [number, link] : links_) {
    if (!link->abandoned()) continue;
    link->abort(Side::Both);
    return true;
  }
  return false;
}

void Proxy::apply(Plan plan) {
  options_.plan = std::move(plan);
  listen(options_.plan.listener);
  const auto links = links_;
  for (const auto& [number, link] : links) link->replace(ruleFor(options_.plan, options_.seed, number));
}

void Proxy::command(const std::string& name) {
  const auto links = links_;
  for (const auto& [number, link] : links) link->command(name);
}

Proxy::Counts Proxy::counts() const {
  Counts counts = counts_;
  counts.open = links_.size();
  return counts;
}

std::vector<Proxy::Open> Proxy::list(std::size_t atMost) const {
  std::vector<Open> open;
  for (const auto& [number, link] : links_) {
    if (open.size() == atMost) break;
    open.push_back(link->describe());
  }
  return open;
}

}  // namespace ivypost::fault
