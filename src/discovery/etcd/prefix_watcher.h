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

/// Maintains the endpoint list from the keys of one prefix in etcd: lists the keys at a revision, watches
/// from the next revision on, and resumes the watch after a failure. No I/O and no clock; random numbers
/// come from a seed.
///
/// Detects three faults that etcd does not report: a watch that is silent, or whose events are withheld
/// while the connection looks alive; a history that was compacted; and a response that is older than the
/// known revision or from another cluster. Audits verify the list: an audit is a linearizable Range call
/// over the prefix that returns the key that was modified last and the count of all keys (KeyMirror::State
/// says why this is sufficient). Watch progress notifications do not verify the list, since some releases
/// send them before the events that they cover; they only show that the stream still delivers.
///
/// Invariant: no failed call removes an entry. A list that can't be verified stays in use, and its age grows.
/// Clock: the caller's monotonic clock; the age counts from the time when the audit or list call that
/// verified the list was sent. While a watcher receives nothing, it resumes the watch at one endpoint after
/// another, with backoff, and the age that it reports grows.
class PrefixWatcher {
 public:
  /// Numbers of calls and of detected faults, by kind; for tests and measurements.
  struct Counts {
    std::uint64_t lists = 0;           ///< requests for a complete list
    std::uint64_t watches = 0;         ///< watch streams that were opened
    std::uint64_t audits = 0;          ///< audits that were sent
    std::uint64_t compactions = 0;     ///< watches that ended because the history was compacted
    std::uint64_t withheld = 0;        ///< audits that found events missing
    std::uint64_t contradictions = 0;  ///< lists that started a new contradiction of the known state
    std::uint64_t duplicates = 0;      ///< events that had been received before
  };

  /// Maximum number of events in the fragments of one response; beyond it a new list is requested.
  static constexpr std::size_t kMaxFragments = 100'000;

  /// `options` must be valid by flawOf().
  PrefixWatcher(Options options, std::uint64_t seed);
  PrefixWatcher(const PrefixWatcher&) = delete;
  PrefixWatcher& operator=(const PrefixWatcher&) = delete;
  PrefixWatcher(PrefixWatcher&&) = delete;
  PrefixWatcher& operator=(PrefixWatcher&&) = delete;
  ~PrefixWatcher() = default;

  /// Handles `input` and appends the resulting actions to `actions`. If `now` is earlier than in a previous
  /// call, the previous time is used.
  void handle(const Input& input, Micros now, Actions& actions);
  /// The time at which TimerExpired is due; none: the watcher waits for responses only, or has not been
  /// started.
  [[nodiscard]] std::optional<Micros> nextTimer() const;

  /// How current the list is at this time.
  [[nodiscard]] discovery::Freshness freshness(Micros now) const;
  /// All known instances by id. For tests and measurements.
  [[nodiscard]] std::map<std::string, Instance> instances() const;
  /// The list holds all changes up to this revision of the store.
  [[nodiscard]] Revision revision() const { return mirror_.revision(); }
  /// Numbers of calls and faults since the start.
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  enum class Phase : std::uint8_t { Idle, Waiting, Listing, Opening, Watching };
  // The action after the phase Waiting.
  enum class Next : std::uint8_t { List, Resume };

  struct Listing {
    std::uint64_t call = 0;
    Micros sentAt = 0;
    Header header{};  // header of the first page
    std::vector<KeyValue> kvs{};
  };
  struct Audit {
    std::uint64_t call = 0;
    Micros sentAt = 0;
    Revision revisionWhenSent = 0;
    // The response, kept until the watch has caught up with its revision, at the latest until `until`.
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
  [[nodiscard]] bool isContradictionAccepted(Contradiction::Kind kind);
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
  void markListVerified();

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
  void addAction(T action) {
    actions_->emplace_back(std::move(action));
  }

  const Options options_;
  const std::string prefix_;
  const std::string rangeEnd_;
  std::mt19937_64 random_;
  // Arguments of the current handle() call.
  Micros now_ = 0;
  Actions* actions_ = nullptr;

  Phase phase_ = Phase::Idle;
  Next next_ = Next::List;
  Micros phaseDeadline_ = 0;  // deadline of the phases Waiting and Opening
  std::size_t endpoint_;
  std::uint64_t lastId_ = 0;  // last id assigned to a call or a stream
  util::DecorrelatedJitter backoff_;
  bool isFailing_ = false;  // a call or stream has failed since the last audit that verified the list
  bool isFetching_ = false;

  KeyMirror mirror_;
  Micros verifiedAt_ = 0;  // the list was equal to the store's at this time
  Contradiction contradiction_;
  Listing listing_;
  std::uint64_t stream_ = 0;
  std::vector<Event> fragments_;
  Micros lastResponseAt_ = 0;  // time of the last response on the stream
  std::optional<Audit> audit_;
  Micros nextAuditAt_ = 0;       // time of the next audit
  Micros progressDeadline_ = 0;  // deadline for a response to the progress request; 0: none is outstanding

  std::string lastFault_;
  Micros lastFaultAt_ = 0;
  bool hasLoggedStale_ = false;
  int badValues_ = 0;  // invalid values during the current handle() call
  Counts counts_;
};

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_PREFIX_WATCHER_H_
