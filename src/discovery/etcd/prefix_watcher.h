// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_PREFIX_WATCHER_H_
#define IVYPOST_DISCOVERY_ETCD_PREFIX_WATCHER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "discovery/etcd/contradiction.h"
#include "discovery/etcd/key_mirror.h"
#include "discovery/etcd/options.h"
#include "discovery/etcd/watcher_events.h"
#include "discovery/source.h"
#include "util/backoff.h"

namespace ivypost::discovery::etcd {

/// Keeps the endpoint list by the keys of one prefix in etcd: lists them at a revision, watches from the next
/// one on, and resumes after a cut. No I/O and no clock; random numbers come from a seed.
///
/// Guards against three ways to be wrong without noticing: a watch that is silent, or whose events are
/// withheld while the connection looks alive; a history that was compacted away; and a response that is older
/// than what is known, or another cluster's. What the list is worth is proved by audits: a linearizable Range
/// over the prefix that gives one key, the one that was changed last, and the count of all (KeyMirror::State
/// says why that proves it). Progress responses prove nothing, as some releases send them ahead of the events
/// that they cover; they only say that the stream still delivers.
///
/// Invariant: no failed call takes an entry away. When the list can't be proved it stays, and its age says
/// so. Clock: the caller's monotonic one, by which the age counts from when the audit that proved the list
/// was sent. A watcher that receives nothing resumes the watch at the next endpoint, again and again with
/// backoff, and reports an age that grows.
class PrefixWatcher {
 public:
  /// How often what was done, by cause; for tests and measurements.
  struct Counts {
    std::uint64_t lists = 0;        ///< complete lists that were asked for
    std::uint64_t watches = 0;      ///< streams that were opened
    std::uint64_t audits = 0;       ///< audits that were sent
    std::uint64_t compactions = 0;  ///< watches that ended since the history was compacted
    std::uint64_t withheld = 0;     ///< audits that found events missing
    std::uint64_t doubts = 0;       ///< lists that contradicted what was known
    std::uint64_t duplicates = 0;   ///< events that had come before
  };

  /// Events of one response in fragments that are kept at the most; the list is asked for anew beyond it.
  static constexpr std::size_t kMaxFragments = 100'000;

  /// `options` have no flaw (flawOf()).
  PrefixWatcher(Options options, std::uint64_t seed);
  PrefixWatcher(const PrefixWatcher&) = delete;
  PrefixWatcher& operator=(const PrefixWatcher&) = delete;
  PrefixWatcher(PrefixWatcher&&) = delete;
  PrefixWatcher& operator=(PrefixWatcher&&) = delete;
  ~PrefixWatcher() = default;

  /// Appends what is to be done about `input`. `now`: a time before an earlier call's counts as that one.
  void handle(const Input& input, Micros now, Actions& actions);
  /// When TimerExpired is to come; none: nothing is waited for but answers.
  [[nodiscard]] std::optional<Micros> nextTimer() const;

  /// How current the list is at this time.
  [[nodiscard]] discovery::Freshness freshness(Micros now) const;
  /// All that are known, by id. For tests and measurements.
  [[nodiscard]] std::map<std::string, Instance> instances() const;
  /// All changes up to it are in the list.
  [[nodiscard]] Revision revision() const { return mirror_.revision(); }
  /// What was done so far.
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  enum class Phase : std::uint8_t { Idle, Waiting, Listing, Opening, Watching };
  // What follows a wait.
  enum class Next : std::uint8_t { List, Resume };

  struct Listing {
    std::uint64_t call = 0;
    Micros sentAt = 0;
    Header header{};  // of its first page
    std::vector<KeyValue> kvs{};
  };
  struct Audit {
    std::uint64_t call = 0;
    Micros sentAt = 0;
    Revision heldThen = 0;
    // Once it has come, until the watch has caught up with it, by `until`.
    std::optional<KeyMirror::State> answer{};
    Micros until = 0;
  };

  void on(const Start& start);
  void on(const Fetch& fetch);
  void on(const TimerExpired& timer);
  void on(const RangeResult& result);
  void on(const WatchResult& result);
  void on(const WatchEnd& end);

  // The list.
  void requestList();
  void requestPage(const std::string& key, Revision revision);
  void onPage(const RangeResult& page);
  [[nodiscard]] bool isPageValid(const RangeResult& page) const;
  void checkList();
  [[nodiscard]] std::optional<Contradiction::Kind> contradictionOf(const Listing& list) const;
  [[nodiscard]] bool isBelieved(Contradiction::Kind kind);
  void acceptList();

  // The watch.
  void openWatch();
  void onOpened(const WatchResult& result);
  void onCanceled(const WatchResult& result);
  void onEvents(const WatchResult& result);
  void apply(const std::vector<Event>& events);
  void onWatchTimer();

  // Audits.
  void requestAudit();
  void onAudit(const RangeResult& result);
  void compareAudit();
  void proveList();

  // Failures.
  void rejectHeader(const std::string& what);
  void fail(const std::string& text, Next next);
  void relist(const std::string& why) { fail(why, Next::List); }
  void closeWatch();
  void wait(Micros span, Next next);
  void useNextEndpoint();
  void logFault(const std::string& text);
  void logBadValue(std::string text);
  void log(std::string text);
  void logIfStale();

  [[nodiscard]] Micros nextBackoff();
  [[nodiscard]] Micros randomUpTo(Micros span);
  [[nodiscard]] double uniform();
  template <class T>
  void act(T action) {
    actions_->emplace_back(std::move(action));
  }

  const Options options_;
  const std::string prefix_;
  const std::string end_;
  std::mt19937_64 random_;
  // Of the handle() that runs.
  Micros now_ = 0;
  Actions* actions_ = nullptr;

  Phase phase_ = Phase::Idle;
  Next next_ = Next::List;
  Micros phaseUntil_ = 0;  // of Waiting and Opening
  std::size_t endpoint_;
  std::uint64_t lastId_ = 0;  // of calls and streams
  util::DecorrelatedJitter backoff_;
  bool isFailing_ = false;  // since the last audit that agreed
  bool isFetching_ = false;

  KeyMirror mirror_;
  Micros provenAt_ = 0;  // the list was true then
  Contradiction contradiction_;
  Listing listing_;
  std::uint64_t stream_ = 0;
  std::vector<Event> fragments_;
  Micros lastResponseAt_ = 0;  // anything on the stream
  std::optional<Audit> audit_;
  Micros auditAt_ = 0;   // the next one
  Micros silentAt_ = 0;  // the stream has to have answered by then; 0: nothing is asked

  std::string lastFault_;
  Micros lastFaultAt_ = 0;
  bool hasLoggedStale_ = false;
  int badValues_ = 0;  // in the handle() that runs
  Counts counts_;
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_PREFIX_WATCHER_H_
