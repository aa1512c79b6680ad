// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/admin_handler.h"

#include <boost/system/system_error.hpp>
#include <chrono>
#include <utility>

#include "control/exclusion_call.h"

namespace ivypost {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// Interval at which the file is checked for changes by the other process, while one replaces the other.
constexpr milliseconds kFilePollInterval{100};
// While one process replaces another, each holds the lock of the exclusions' file for a write and two syncs
// of the disk, usually some milliseconds. A call that has not acquired the lock within 2000 ms is answered as
// failed.
constexpr milliseconds kLockRetryInterval{5};
constexpr milliseconds kLockTimeout{2000};
// Delay between attempts to listen while the console's address can't be bound.
constexpr milliseconds kListenRetryInterval{1000};

// HTTP status codes of the answers to operators' calls.
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

exclusion::WallTime wallClockNow() {
  constexpr std::int64_t kMicrosPerMilli = 1000;
  return exclusion::WallTime(milliseconds(unixNow() / kMicrosPerMilli));
}

}  // namespace

AdminHandler::AdminHandler(boost::asio::io_context& io, const Config& config, const EndpointTable& endpoints,
                           const lifecycle::Lifecycle& lifecycle, Callbacks callbacks)
    : io_(io),
      config_(config),
      endpoints_(endpoints),
      lifecycle_(lifecycle),
      callbacks_(std::move(callbacks)),
      file_(config.console ? config.tempFolder : std::string(), callbacks_.log),
      pollTimer_(io),
      changeTimer_(io),
      listenTimer_(io) {}

void AdminHandler::loadExclusions() {
  if (!config_.console) return;
  if (auto kept = file_.readIfChanged()) exclusions_ = std::move(*kept);
  pollFile();
}

// While one process replaces another, an operator may call either, so each polls the file.
void AdminHandler::pollFile() {
  pollTimer_.expires_after(kFilePollInterval);
  pollTimer_.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    if (auto next = file_.readIfChanged()) applyExclusions(std::move(*next));
    pollFile();
  });
}

void AdminHandler::listen() {
  if (!config_.console) return;
  try {
    console_ = std::make_unique<admin::AdminServer>(
        io_, *config_.console,
        [this](const admin::Call& call, const admin::AdminServer::Answer& answer) { onCall(call, answer); });
    if (hasListenFailed_) callbacks_.log("the console listens now");
  } catch (const boost::system::system_error& error) {
    if (!std::exchange(hasListenFailed_, true))
      callbacks_.log(std::string("the console can't listen, and is tried again: ") + error.what());
    listenTimer_.expires_after(kListenRetryInterval);
    listenTimer_.async_wait([this](const error_code& cancelled) {
      if (!cancelled) listen();
    });
  }
}

std::optional<std::uint16_t> AdminHandler::port() const {
  return console_ ? std::optional(console_->port()) : std::nullopt;
}

void AdminHandler::onCall(const admin::Call& call, const admin::AdminServer::Answer& answer) {
  using Kind = admin::Call::Kind;
  switch (call.kind) {
    case Kind::Ready:
      return answer({lifecycle_.effects().isReady ? kOk : kUnavailable, nameOf(lifecycle_.state())});
    case Kind::Evacuate:
      return changeLifecycle(lifecycle::Event::DrainRequested, answer);
    case Kind::Rejoin:
      return changeLifecycle(lifecycle::Event::DrainCancelled, answer);
    case Kind::Exclude:
    case Kind::Include:
      return queueChange({call, answer, Clock::now() + kLockTimeout});
  }
}

void AdminHandler::changeLifecycle(lifecycle::Event event, const admin::AdminServer::Answer& answer) {
  if (lifecycle_.state() == lifecycle::State::Stopping) return answer({kConflict, "the sidecar is stopping"});
  callbacks_.lifecycleEvent(event);
  answer({kOk, nameOf(lifecycle_.state())});
}

void AdminHandler::queueChange(PendingChange change) {
  if (pendingChanges_.size() >= admin::AdminServer::kMaxConnections)
    return change.answer({kUnavailable, kFileIsLocked});
  pendingChanges_.push_back(std::move(change));
  if (pendingChanges_.size() == 1) tryNextChange();
}

// Makes at most one change per turn of the event loop, since each change blocks on the disk.
void AdminHandler::tryNextChange() {
  const auto reply = changeExclusions(pendingChanges_.front().call);
  if (!reply && Clock::now() < pendingChanges_.front().lockDeadline)
    return scheduleNextChange(kLockRetryInterval);
  const PendingChange done = std::move(pendingChanges_.front());
  pendingChanges_.pop_front();
  if (!pendingChanges_.empty()) scheduleNextChange(Clock::duration::zero());
  done.answer(reply.value_or(admin::Reply{kUnavailable, kFileIsLocked}));
}

void AdminHandler::scheduleNextChange(Clock::duration after) {
  changeTimer_.expires_after(after);
  changeTimer_.async_wait([this](const error_code& cancelled) {
    if (!cancelled) tryNextChange();
  });
}

// Returns nothing if the other process holds the lock.
std::optional<admin::Reply> AdminHandler::changeExclusions(const admin::Call& call) {
  exclusion::ExclusionSet next = exclusions_;
  const auto outcome = file_.apply(next, changeOf(call, endpoints_, wallClockNow()));
  if (outcome) applyExclusions(std::move(next));
  const bool isExcluded = exclusions_.isExcluded(call.upstream);
  if (outcome && outcome.value() == exclusion::Outcome::Changed)
    callbacks_.log((isExcluded ? "excluded by hand: " : "included by hand: ") + call.upstream);
  return replyTo(outcome, isExcluded);
}

void AdminHandler::applyExclusions(exclusion::ExclusionSet next) {
  const std::vector<std::string> ids = exclusions_.differingEndpoints(next);
  exclusions_ = std::move(next);
  callbacks_.exclusionsChanged(ids);
}

}  // namespace ivypost
