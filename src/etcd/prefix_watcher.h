// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Follows the keys of one prefix in etcd: lists them at a revision, watches from the next one on, and resumes
// after a cut. Guards against three ways to be wrong without noticing: a watch that is silent, or whose
// events are withheld while the connection looks alive; a history that was compacted away; and an answer that
// is older than what is known, or another cluster's. No I/O, no clock, no randomness but its seed's: it is
// told what came, and says what is to be called.
//
// What the list is worth is proved by audits: a linearizable Range over the prefix that gives one key, the
// one that was changed last, and the count of all. The store's state at revision r is held; if no key of the
// store's later state has changed since r and there are as many, the two are equal, since a key that was not
// changed was there before. Progress answers prove nothing (some releases send them ahead of the events that
// they cover); they only tell that the stream still delivers.
//
// No failed call takes an entry away. When the list can't be proved it stays, and its age says so.
#ifndef IVYPOST_ETCD_PREFIX_WATCHER_H_
#define IVYPOST_ETCD_PREFIX_WATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "discovery/source.h"
#include "etcd/messages.h"
#include "etcd/options.h"
#include "util/bounded_math.h"

namespace ivypost::etcd {

using balancer::Micros;
using discovery::Freshness;
using discovery::Instance;

class PrefixWatcher {
 public:
  // ---- What is to be done ----
  // A Range call. An audit asks for keys only, one of them, the highest mod_revision first. All are
  // linearizable.
  struct RangeCall {
    std::uint64_t call = 0;
    std::size_t endpoint = 0;  // of Options::endpoints
    std::string key, end;
    std::int64_t limit = 0;
    Revision revision = 0;  // 0: the latest
    bool audit = false;
    Micros timeout = 0;
  };
  // Opens a stream with one watch, with fragments and the server's own progress notifications. Streams are
  // opened one at a time.
  struct WatchCall {
    std::uint64_t stream = 0;
    std::size_t endpoint = 0;
    std::string key, end;
    Revision from = 0;
  };
  struct ProgressRequest {
    std::uint64_t stream = 0;
  };
  struct WatchClose {  // of a stream; nothing more is heard of it
    std::uint64_t stream = 0;
  };
  struct Publish {  // whole, or what has changed; those removed are Gone. One revision's changes together.
    Revision revision = 0;
    bool whole = false;
    std::vector<Instance> instances;
  };
  struct FetchFailure {};  // the list that Fetch asked for did not come
  struct LogLine {         // one line for the log
    std::string text;
  };
  using Action =
      std::variant<RangeCall, WatchCall, ProgressRequest, WatchClose, Publish, FetchFailure, LogLine>;
  using Actions = std::vector<Action>;

  // ---- What came ----
  struct Start {};
  struct Fetch {};         // the whole list is wanted anew
  struct TimerExpired {};  // wakeAt() has come
  struct RangeResult {
    std::uint64_t call = 0;
    Code code = Code::Ok;
    std::string text;  // of a failure
    Header header{};
    std::vector<KeyValue> kvs{};
    bool more = false;
    std::int64_t count = 0;  // of all keys in the range
  };
  struct WatchResult {
    std::uint64_t stream = 0;
    Header header{};
    bool created = false, canceled = false;
    Revision compactRevision = 0;
    std::string reason{};
    bool fragment = false;  // the events go on in the next response
    std::vector<Event> events{};
  };
  struct WatchEnd {
    std::uint64_t stream = 0;
    Code code = Code::Unavailable;
    std::string text;
  };
  using Input = std::variant<Start, Fetch, TimerExpired, RangeResult, WatchResult, WatchEnd>;

  // A relist was needed so often, by cause; for tests and the status.
  struct Counts {
    std::uint64_t lists = 0, watches = 0, audits = 0, compactions = 0, withheld = 0, doubts = 0,
                  duplicates = 0;
  };

  // Events of one response in fragments that are kept at the most; the list is asked for anew beyond it.
  static constexpr std::size_t kMaxFragments = 100'000;
  // Revisions whose state an audit can be compared with.
  static constexpr std::size_t kMaxHistory = 4096;

  // `options` have no flaw.
  PrefixWatcher(Options options, std::uint64_t seed);

  void handle(const Input& input, Micros now, Actions& actions);
  // When Due is to come; none: nothing is waited for but answers.
  std::optional<Micros> wakeAt() const;

  Freshness freshness(Micros now) const;
  // All that are known, by id. For tests and measurements.
  std::map<std::string, Instance> instances() const;
  Revision revision() const { return revision_; }
  const Counts& counts() const { return counts_; }

 private:
  enum class Phase : std::uint8_t { Idle, Waiting, Listing, Opening, Watching };
  enum class Next : std::uint8_t { List, Resume };

  struct Held {
    Revision created = 0, modified = 0;
    std::optional<Instance> instance;  // none: its value is of no use
  };
  // The number of keys and the highest mod_revision among them, after this revision.
  struct State {
    Revision revision = 0;
    std::int64_t count = 0;
    Revision newest = 0;
  };
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
    std::optional<State> answer{};  // once it has come, until the watch has caught up with it
    Micros until = 0;               // ... by then
  };
  // An answer that contradicts the list, and who has given it.
  struct Doubt {
    enum class Kind : std::uint8_t { Empty, Older, OtherCluster } kind = Kind::Empty;
    std::uint64_t cluster = 0;
    Revision revision = 0;
    int answers = 0;
    std::set<std::size_t> endpoints{};
  };

  void on(const Start& start);
  void on(const Fetch& fetch);
  void on(const TimerExpired& due);
  void on(const RangeResult& ranged);
  void on(const WatchResult& watched);
  void on(const WatchEnd& ended);

  void list();
  void askPage(const std::string& key, Revision revision);
  void listed(const RangeResult& page);
  void judge();
  std::optional<Doubt::Kind> contradiction(const Listing& list) const;
  bool settles(Doubt::Kind kind, const Listing& list);
  void accept();
  void watch();
  void opened(const WatchResult& watched);
  void apply(const std::vector<Event>& events);
  void change(const Event& event, std::map<std::string, Instance>& changed);
  void remember(Revision revision);
  void audit();
  void audited(const RangeResult& ranged);
  void compare();
  void doubtHeader(const std::string& what);

  // Ends what is under way and goes on at the next endpoint after a wait.
  void fail(const std::string& text, Next next);
  // The same without a wait that grows, and with the list, as soon as it may.
  void relist(const std::string& why);
  void hangUp();
  void wait(Micros span, Next next);
  void decode(const KeyValue& kv, Held& held);
  void trouble(const std::string& text);
  void report(std::string text);
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  template <class T>
  void act(T action) {
    actions_->emplace_back(std::move(action));
  }

  const Options options_;
  const std::string prefix_, end_;
  std::mt19937_64 random_;
  Micros now_ = 0;
  Actions* actions_ = nullptr;

  Phase phase_ = Phase::Idle;
  Next next_ = Next::List;  // after the wait
  Micros phaseUntil_ = 0;   // of Waiting and Opening
  std::size_t endpoint_;
  std::uint64_t lastNumber_ = 0;  // of calls and streams
  util::DecorrelatedJitter backoff_;
  bool failing_ = false;  // since the last audit that agreed
  bool fetching_ = false;

  // The list: every key of the prefix, also those whose value is of no use, since audits count them.
  bool hasList_ = false;
  std::uint64_t cluster_ = 0;
  Revision revision_ = 0;  // all changes up to it are in the list
  std::map<std::string, Held> held_;
  std::multiset<Revision> modified_;  // of held_
  std::deque<State> history_;         // the last is now; never empty when there is a list
  Micros provenAt_ = 0;               // the list was true then

  Listing listing_;
  std::optional<Doubt> doubt_;
  std::uint64_t stream_ = 0;
  std::vector<Event> fragments_;
  Micros heardAt_ = 0;  // anything on the stream
  std::optional<Audit> audit_;
  Micros auditAt_ = 0;   // the next one
  Micros silentAt_ = 0;  // the stream has to have answered by then; 0: nothing is asked

  std::string lastTrouble_;
  Micros troubleAt_ = 0;
  bool staleReported_ = false;
  int badReports_ = 0;  // lines on values of no use, in this call
  Counts counts_;
};

}  // namespace ivypost::etcd

#endif  // IVYPOST_ETCD_PREFIX_WATCHER_H_
