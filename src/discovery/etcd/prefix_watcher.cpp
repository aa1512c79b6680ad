// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/prefix_watcher.h"

#include <algorithm>
#include <chrono>

namespace ivypost::discovery::etcd {
namespace {

// If an audit finds changes that the watch has not delivered, the watcher waits this long for them: the two
// responses come over different streams, in any order.
constexpr Micros kAuditGrace = 300'000;
// Average wait between two requests for a list while the lists contradict the known state.
constexpr Micros kContradictionPause = 150'000;
// If no audit has verified the list for longer than this, the watcher reports it in the log. The same time is
// the limit within which a removed node must stop getting requests.
constexpr Micros kStaleThreshold = 2'000'000;
// Limits for the log: the interval at which the same fault is repeated, and the number of lines about
// invalid values for one input.
constexpr Micros kFaultLogInterval = 10'000'000;
constexpr int kMaxBadValueLines = 5;
constexpr Micros kMicrosPerMilli = 1000;

// "the list: unavailable, connection refused".
std::string describe(const char* what, StatusCode status, const std::string& text) {
  return what + std::string(": ") + nameOf(status) + (text.empty() ? "" : ", " + text);
}

}  // namespace

PrefixWatcher::PrefixWatcher(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      prefix_(options_.keyPrefix()),
      rangeEnd_(prefixEnd(prefix_)),
      random_(seed),
      endpoint_(random_() % std::max<std::size_t>(1, options_.endpoints.size())),
      mirror_(prefix_, [this](std::string line) { logBadValue(std::move(line)); }) {}

void PrefixWatcher::handle(const Input& input, Micros now, Actions& actions) {
  now_ = std::max(now_, now);
  actions_ = &actions;
  badValues_ = 0;
  std::visit([this](const auto& one) { on(one); }, input);
  if (badValues_ > kMaxBadValueLines)
    log("etcd: " + std::to_string(badValues_ - kMaxBadValueLines) + " more values of no use");
  logIfStale();
}

std::optional<Micros> PrefixWatcher::nextTimer() const {
  std::optional<Micros> next;
  const auto considerTimer = [&](Micros when) { next = std::min(next.value_or(when), when); };
  if (phase_ == Phase::Waiting || phase_ == Phase::Opening) considerTimer(phaseDeadline_);
  if (phase_ == Phase::Watching) {
    if (!audit_) considerTimer(nextAuditAt_);
    if (audit_ && audit_->answer) considerTimer(audit_->until);
    if (progressDeadline_ > 0) considerTimer(progressDeadline_);
  }
  if (mirror_.hasList() && !hasLoggedStale_ && phase_ != Phase::Idle)
    considerTimer(verifiedAt_ + kStaleThreshold + 1);
  return next;
}

discovery::Freshness PrefixWatcher::freshness(Micros now) const {
  if (!mirror_.hasList()) return {};
  const Micros age = std::max<Micros>(0, now - verifiedAt_);
  const bool isBehind = audit_ && audit_->answer;
  const bool isRecent = age <= 2 * options_.audit + options_.callTimeout;
  return {discovery::Duration(age),
          phase_ == Phase::Watching && !contradiction_.isOpen() && !isBehind && isRecent};
}

std::map<std::string, Instance> PrefixWatcher::instances() const {
  std::map<std::string, Instance> byId;
  for (Instance& instance : mirror_.instances()) {
    std::string id = instance.id;
    byId.emplace(std::move(id), std::move(instance));
  }
  return byId;
}

// ---- Inputs -----------------------------------------------------------------------------------------------

void PrefixWatcher::on(const Start& /*start*/) {
  if (phase_ != Phase::Idle) return;
  // The random wait spreads the calls of sidecars that start together.
  wait(randomUpTo(options_.backoff), Next::List);
}

void PrefixWatcher::on(const Fetch& /*fetch*/) {
  isFetching_ = true;
  if (phase_ == Phase::Idle) return on(Start{});
  if (phase_ == Phase::Waiting) {
    next_ = Next::List;
  } else if (phase_ != Phase::Listing) {
    closeWatch();
    requestList();
  }
}

void PrefixWatcher::on(const TimerExpired& /*timer*/) {
  if (phase_ == Phase::Waiting && now_ >= phaseDeadline_)
    return next_ == Next::Resume ? openWatch() : requestList();
  if (phase_ == Phase::Opening && now_ >= phaseDeadline_)
    return fail("the watch was not opened in time", Next::Resume);
  if (phase_ == Phase::Watching) onWatchTimer();
}

void PrefixWatcher::on(const RangeResult& result) {
  if (phase_ == Phase::Listing && result.call == listing_.call) return onPage(result);
  if (phase_ == Phase::Watching && audit_ && !audit_->answer && result.call == audit_->call) onAudit(result);
}

void PrefixWatcher::on(const WatchResult& result) {
  if (result.stream != stream_ || (phase_ != Phase::Opening && phase_ != Phase::Watching)) return;
  lastResponseAt_ = now_;
  if (result.isCanceled) return onCanceled(result);
  if (result.header.cluster != mirror_.cluster()) return rejectHeader("another cluster");
  if (result.isCreated) return onOpened(result);
  // A response without events is a watch progress notification; it does not complete a response whose
  // fragments are still arriving.
  if (phase_ == Phase::Watching && !result.events.empty()) onEvents(result);
}

void PrefixWatcher::on(const WatchEnd& end) {
  if (end.stream != stream_ || (phase_ != Phase::Opening && phase_ != Phase::Watching)) return;
  fail(describe("the watch ended", end.status, end.text),
       end.status == StatusCode::Compacted ? Next::List : Next::Resume);
}

// ---- The list ---------------------------------------------------------------------------------------------

void PrefixWatcher::requestList() {
  ++counts_.lists;
  phase_ = Phase::Listing;
  listing_ = Listing{};
  listing_.sentAt = now_;
  requestPage(prefix_, 0);
}

void PrefixWatcher::requestPage(const std::string& key, Revision revision) {
  listing_.call = ++lastId_;
  addAction(RangeCall{listing_.call, endpoint_, key, rangeEnd_, options_.page, revision, false,
                      options_.callTimeout});
}

void PrefixWatcher::onPage(const RangeResult& page) {
  if (page.status != StatusCode::Ok) return fail(describe("the list", page.status, page.text), Next::List);
  if (listing_.header.revision == 0) listing_.header = page.header;
  if (!isPageValid(page)) return fail("the list: its pages do not fit together", Next::List);
  const auto maxKeys = static_cast<std::size_t>(options_.maxKeys);
  if (listing_.kvs.size() + page.kvs.size() > maxKeys)
    return fail("the list has over " + std::to_string(maxKeys) + " keys (max_keys); it is not taken",
                Next::List);
  listing_.kvs.insert(listing_.kvs.end(), page.kvs.begin(), page.kvs.end());
  if (page.hasMore) return requestPage(page.kvs.back().key + '\0', listing_.header.revision);
  checkList();
}

// Rejects pages from different stores, and a page without keys that announces further pages.
bool PrefixWatcher::isPageValid(const RangeResult& page) const {
  const Header& first = listing_.header;
  return first.revision > 0 && page.header.cluster == first.cluster &&
         page.header.revision >= first.revision && (!page.hasMore || !page.kvs.empty());
}

void PrefixWatcher::checkList() {
  if (const auto kind = contradictionOf(listing_)) {
    if (!isContradictionAccepted(*kind)) {
      useNextEndpoint();
      return wait(kContradictionPause / 2 + randomUpTo(kContradictionPause), Next::List);
    }
    log("etcd: it was told again, and is followed");
    if (*kind != Contradiction::Kind::Empty) mirror_.forgetKeys();
  }
  contradiction_.clear();
  acceptList();
}

std::optional<Contradiction::Kind> PrefixWatcher::contradictionOf(const Listing& list) const {
  using Kind = Contradiction::Kind;
  if (mirror_.hasList() && list.header.cluster != mirror_.cluster()) return Kind::OtherCluster;
  if (mirror_.hasList() && list.header.revision < mirror_.revision()) return Kind::Older;
  if (list.kvs.empty() && (!mirror_.hasList() || !mirror_.isEmpty())) return Kind::Empty;
  return std::nullopt;
}

bool PrefixWatcher::isContradictionAccepted(Contradiction::Kind kind) {
  const auto outcome = contradiction_.add(kind, listing_.header, endpoint_, options_.endpoints.size());
  if (outcome.isNew) {
    ++counts_.contradictions;
    log("etcd: " + options_.endpoints[endpoint_] + " gives " + etcd::describe(kind) + "; asking again");
  }
  return outcome.isAccepted;
}

void PrefixWatcher::acceptList() {
  mirror_.replace(listing_.header, listing_.kvs);
  verifiedAt_ = listing_.sentAt;
  hasLoggedStale_ = false;
  isFetching_ = false;
  listing_ = Listing{};
  addAction(Publish{mirror_.revision(), true, mirror_.instances()});
  openWatch();
}

// ---- The watch --------------------------------------------------------------------------------------------

void PrefixWatcher::openWatch() {
  ++counts_.watches;
  phase_ = Phase::Opening;
  phaseDeadline_ = now_ + options_.callTimeout;
  stream_ = ++lastId_;
  fragments_.clear();
  addAction(WatchCall{stream_, endpoint_, prefix_, rangeEnd_, mirror_.revision() + 1});
}

void PrefixWatcher::onOpened(const WatchResult& result) {
  if (phase_ != Phase::Opening) return;
  if (result.header.revision < mirror_.revision()) return rejectHeader("an older revision than is known");
  phase_ = Phase::Watching;
  progressDeadline_ = 0;
  // A list that was verified less than an audit interval ago, such as one that was just read, needs no audit
  // yet; after a resumed watch the list may be outdated and is audited at once.
  if (now_ - verifiedAt_ >= options_.audit) return requestAudit();
  nextAuditAt_ = now_ + options_.audit / 2 + randomUpTo(options_.audit / 2);
}

void PrefixWatcher::onCanceled(const WatchResult& result) {
  if (result.compactRevision <= 0) return fail("the watch was canceled: " + result.reason, Next::Resume);
  ++counts_.compactions;
  fail("the history after revision " + std::to_string(mirror_.revision()) + " was compacted", Next::List);
}

void PrefixWatcher::onEvents(const WatchResult& result) {
  if (!result.isFragment && fragments_.empty()) return apply(result.events);
  if (fragments_.size() + result.events.size() > kMaxFragments)
    return relist("a response has too many events");
  fragments_.insert(fragments_.end(), result.events.begin(), result.events.end());
  if (!result.isFragment) apply(std::exchange(fragments_, {}));
}

void PrefixWatcher::apply(const std::vector<Event>& events) {
  KeyMirror::Changes changes = mirror_.apply(events);
  counts_.duplicates += changes.duplicates;
  if (changes.isOutOfOrder) return relist("events are out of order");
  if (!changes.isNew) return;
  if (!changes.instances.empty()) addAction(Publish{mirror_.revision(), false, std::move(changes.instances)});
  if (audit_ && audit_->answer) compareAudit();
}

void PrefixWatcher::onWatchTimer() {
  if (progressDeadline_ > 0 && now_ >= progressDeadline_) {
    const Micros requestedAt = std::exchange(progressDeadline_, 0) - options_.callTimeout;
    if (lastResponseAt_ < requestedAt) return fail("the watch is silent", Next::Resume);
  }
  if (audit_ && audit_->answer && now_ >= audit_->until) {
    ++counts_.withheld;
    return relist("the watch withholds changes");
  }
  if (!audit_ && now_ >= nextAuditAt_) requestAudit();
}

// ---- Audits -----------------------------------------------------------------------------------------------

void PrefixWatcher::requestAudit() {
  ++counts_.audits;
  audit_ = Audit{};
  audit_->call = ++lastId_;
  audit_->sentAt = now_;
  audit_->revisionWhenSent = mirror_.revision();
  nextAuditAt_ = now_ + options_.audit;
  addAction(RangeCall{audit_->call, endpoint_, prefix_, rangeEnd_, 1, 0, true, options_.callTimeout});
  if (!options_.progress || progressDeadline_ > 0) return;
  progressDeadline_ = now_ + options_.callTimeout;
  addAction(ProgressRequest{stream_});
}

void PrefixWatcher::onAudit(const RangeResult& result) {
  if (result.status != StatusCode::Ok)
    return fail(describe("the audit", result.status, result.text), Next::Resume);
  if (result.header.cluster != mirror_.cluster()) return rejectHeader("another cluster");
  if (result.header.revision < audit_->revisionWhenSent)
    return rejectHeader("an older revision than is known");
  audit_->answer = KeyMirror::State{result.header.revision, result.count,
                                    result.kvs.empty() ? 0 : result.kvs.front().modRevision};
  audit_->until = now_ + kAuditGrace;
  compareAudit();
}

void PrefixWatcher::compareAudit() {
  switch (mirror_.compare(*audit_->answer)) {
    case KeyMirror::Comparison::Unknown:
      audit_.reset();
      return;
    case KeyMirror::Comparison::Equal:
      return markListVerified();
    case KeyMirror::Comparison::Different:
      break;
  }
  // Events arrive in the order of revisions: an event after the audit's revision shows that no earlier
  // event is still to come.
  if (mirror_.revision() <= audit_->answer->revision) return;
  ++counts_.withheld;
  relist("the watch has left out changes");
}

void PrefixWatcher::markListVerified() {
  verifiedAt_ = std::max(verifiedAt_, audit_->sentAt);
  // A resumed watch can start after the audit's revision, even if older revisions are compacted.
  if (audit_->answer->revision > mirror_.revision()) mirror_.advanceTo(audit_->answer->revision);
  audit_.reset();
  backoff_.reset();
  if (std::exchange(hasLoggedStale_, false) || isFailing_) log("etcd: the list is proved again");
  isFailing_ = false;
  lastFault_.clear();
}

// ---- Failures ---------------------------------------------------------------------------------------------

void PrefixWatcher::rejectHeader(const std::string& what) {
  relist(options_.endpoints[endpoint_] + " speaks of " + what);
}

// Closes the watch and continues at the next endpoint after a wait.
void PrefixWatcher::fail(const std::string& text, Next next) {
  logFault(text);
  closeWatch();
  if (std::exchange(isFetching_, false)) addAction(FetchFailure{});
  useNextEndpoint();
  // The first retry, at another endpoint, follows soon; further retries back off, since the whole cluster
  // may be overloaded.
  const bool isFirst = !std::exchange(isFailing_, true);
  wait(isFirst ? randomUpTo(options_.backoff) : nextBackoff(), mirror_.hasList() ? next : Next::List);
}

void PrefixWatcher::closeWatch() {
  if (phase_ == Phase::Opening || phase_ == Phase::Watching) addAction(WatchClose{stream_});
  stream_ = 0;
  fragments_.clear();
  audit_.reset();
  progressDeadline_ = 0;
}

void PrefixWatcher::wait(Micros span, Next next) {
  phase_ = Phase::Waiting;
  next_ = next;
  phaseDeadline_ = now_ + span;
}

void PrefixWatcher::useNextEndpoint() {
  endpoint_ = (endpoint_ + 1) % options_.endpoints.size();
}

Micros PrefixWatcher::nextBackoff() {
  return static_cast<Micros>(backoff_.next(static_cast<double>(options_.backoff),
                                           static_cast<double>(options_.maxBackoff), uniform()));
}

Micros PrefixWatcher::randomUpTo(Micros span) {
  return static_cast<Micros>(static_cast<double>(span) * uniform());
}

double PrefixWatcher::uniform() {
  // Returns a number in [0, 1), from 53 of the 64 bits: the precision of a double.
  constexpr int kUnusedBits = 11;
  constexpr double kUnit = 0x1p-53;
  return static_cast<double>(random_() >> kUnusedBits) * kUnit;
}

// ---- The log ----------------------------------------------------------------------------------------------

void PrefixWatcher::logFault(const std::string& text) {
  if (text == lastFault_ && now_ - lastFaultAt_ < kFaultLogInterval) return;
  lastFault_ = text;
  lastFaultAt_ = now_;
  log("etcd: " + options_.endpoints[endpoint_] + ": " + printable(text) +
      (mirror_.hasList() ? "; the list stays" : ""));
}

void PrefixWatcher::logBadValue(std::string text) {
  if (badValues_++ < kMaxBadValueLines) log(std::move(text));
}

void PrefixWatcher::log(std::string text) {
  addAction(LogLine{std::move(text)});
}

void PrefixWatcher::logIfStale() {
  if (!mirror_.hasList() || hasLoggedStale_ || now_ - verifiedAt_ <= kStaleThreshold) return;
  hasLoggedStale_ = true;
  log("etcd: the list can't be proved and stays as it is, from " +
      std::to_string((now_ - verifiedAt_) / kMicrosPerMilli) + " ms ago");
}

}  // namespace ivypost::discovery::etcd
