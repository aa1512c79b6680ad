// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "etcd/prefix_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "etcd/instance_entry.h"
#include "settings/settings.h"

namespace ivypost::etcd {
namespace {

// An audit that tells of changes which the watch has not brought waits so long for them: the two come over
// different streams, in any order.
constexpr Micros kAuditGrace = 300'000;
// Between two answers that contradict the list.
constexpr Micros kDoubtPause = 150'000;
// Answers that have to say the same before an empty list, or another history, is followed. An empty one is
// told twice at once; another history by a majority of the endpoints too: one may be a member that lags, or
// may stand in another cluster.
constexpr int kEmptyAnswers = 2, kHistoryAnswers = 3;
// A list that could not be proved for so long is reported; the time in which a removed node must have stopped
// getting requests.
constexpr Micros kStale = 2'000'000;
// The same trouble is reported so often, and so many lines on values of no use at a time.
constexpr Micros kTroubleEvery = 10'000'000;
constexpr int kMaxBadReports = 5;

// A key or a text from outside, fit for one line of the log.
std::string shown(std::string text) {
  constexpr std::size_t kMost = 120;
  if (text.size() > kMost) text = text.substr(0, kMost) + "...";
  std::replace_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; },
      '?');
  return text;
}

}  // namespace

PrefixWatcher::PrefixWatcher(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      prefix_(options_.keyPrefix()),
      end_(prefixEnd(prefix_)),
      random_(seed),
      endpoint_(random_() % std::max<std::size_t>(1, options_.endpoints.size())) {}

void PrefixWatcher::handle(const Input& input, Micros now, Actions& actions) {
  now_ = std::max(now_, now);
  actions_ = &actions;
  badReports_ = 0;
  std::visit([this](const auto& one) { on(one); }, input);
  if (badReports_ > kMaxBadReports)
    report("etcd: " + std::to_string(badReports_ - kMaxBadReports) + " more values of no use");
  if (hasList_ && !staleReported_ && now_ - provenAt_ > kStale) {
    staleReported_ = true;
    report("etcd: the list can't be proved and stays as it is, from " +
           std::to_string((now_ - provenAt_) / 1000) + " ms ago");
  }
}

std::optional<Micros> PrefixWatcher::wakeAt() const {
  std::optional<Micros> at;
  const auto by = [&](Micros when) { at = std::min(at.value_or(when), when); };
  if (phase_ == Phase::Waiting || phase_ == Phase::Opening) by(phaseUntil_);
  if (phase_ == Phase::Watching) {
    if (!audit_) by(auditAt_);
    if (audit_ && audit_->answer) by(audit_->until);
    if (silentAt_ > 0) by(silentAt_);
  }
  if (hasList_ && !staleReported_ && phase_ != Phase::Idle) by(provenAt_ + kStale + 1);
  return at;
}

Freshness PrefixWatcher::freshness(Micros now) const {
  if (!hasList_) return {};
  const Micros age = std::max<Micros>(0, now - provenAt_);
  const bool behind = audit_ && audit_->answer;
  return {std::chrono::microseconds(age), phase_ == Phase::Watching && !doubt_ && !behind &&
                                              age <= 2 * options_.audit + options_.callTimeout};
}

std::map<std::string, Instance> PrefixWatcher::instances() const {
  std::map<std::string, Instance> all;
  for (const auto& [key, held] : held_) {
    if (held.instance) all.emplace(held.instance->id, *held.instance);
  }
  return all;
}

// ---- What came --------------------------------------------------------------------------------------------

void PrefixWatcher::on(const Start&) {
  if (phase_ != Phase::Idle) return;
  // All sidecars may start together.
  wait(static_cast<Micros>(uniform() * static_cast<double>(options_.backoff)), Next::List);
}

void PrefixWatcher::on(const Fetch&) {
  fetching_ = true;
  if (phase_ == Phase::Idle) return on(Start{});
  if (phase_ == Phase::Waiting) {
    next_ = Next::List;
  } else if (phase_ != Phase::Listing) {
    hangUp();
    list();
  }
}

void PrefixWatcher::on(const TimerExpired&) {
  if (phase_ == Phase::Waiting && now_ >= phaseUntil_) return next_ == Next::Resume ? watch() : list();
  if (phase_ == Phase::Opening && now_ >= phaseUntil_)
    return fail("the watch was not opened in time", Next::Resume);
  if (phase_ != Phase::Watching) return;
  if (silentAt_ > 0 && now_ >= silentAt_) {
    const Micros askedAt = std::exchange(silentAt_, 0) - options_.callTimeout;
    if (heardAt_ < askedAt) return fail("the watch is silent", Next::Resume);
  }
  if (audit_ && audit_->answer && now_ >= audit_->until) {
    ++counts_.withheld;
    return relist("the watch withholds changes");
  }
  if (!audit_ && now_ >= auditAt_) audit();
}

void PrefixWatcher::on(const RangeResult& ranged) {
  if (phase_ == Phase::Listing && ranged.call == listing_.call) return listed(ranged);
  if (phase_ == Phase::Watching && audit_ && !audit_->answer && ranged.call == audit_->call) audited(ranged);
}

void PrefixWatcher::on(const WatchResult& watched) {
  if (watched.stream != stream_ || (phase_ != Phase::Opening && phase_ != Phase::Watching)) return;
  heardAt_ = now_;
  if (watched.canceled) {
    if (watched.compactRevision > 0) {
      ++counts_.compactions;
      return fail("the history after revision " + std::to_string(revision_) + " was compacted", Next::List);
    }
    return fail("the watch was canceled: " + watched.reason, Next::Resume);
  }
  if (watched.header.cluster != cluster_) return doubtHeader("another cluster");
  if (watched.created) return opened(watched);
  // One without events tells of progress, and ends no response whose fragments are coming.
  if (phase_ != Phase::Watching || watched.events.empty()) return;
  if (watched.fragment || !fragments_.empty()) {
    if (fragments_.size() + watched.events.size() > kMaxFragments)
      return relist("a response has too many events");
    fragments_.insert(fragments_.end(), watched.events.begin(), watched.events.end());
    if (watched.fragment) return;
    return apply(std::exchange(fragments_, {}));
  }
  apply(watched.events);
}

void PrefixWatcher::on(const WatchEnd& ended) {
  if (ended.stream != stream_ || (phase_ != Phase::Opening && phase_ != Phase::Watching)) return;
  fail("the watch ended: " + std::string(nameOf(ended.code)) + (ended.text.empty() ? "" : ", " + ended.text),
       ended.code == Code::Compacted ? Next::List : Next::Resume);
}

// ---- The list ---------------------------------------------------------------------------------------------

void PrefixWatcher::list() {
  ++counts_.lists;
  phase_ = Phase::Listing;
  listing_ = Listing{};
  listing_.sentAt = now_;
  askPage(prefix_, 0);
}

void PrefixWatcher::askPage(const std::string& key, Revision revision) {
  listing_.call = ++lastNumber_;
  act(RangeCall{listing_.call, endpoint_, key, end_, options_.page, revision, false, options_.callTimeout});
}

void PrefixWatcher::listed(const RangeResult& page) {
  if (page.code != Code::Ok) {
    return fail("the list: " + std::string(nameOf(page.code)) + (page.text.empty() ? "" : ", " + page.text),
                Next::List);
  }
  const bool first = listing_.header.revision == 0;
  if (first) listing_.header = page.header;
  // Guards against pages of two stores, and against one that says there is more and gives nothing.
  if (page.header.cluster != listing_.header.cluster || page.header.revision < listing_.header.revision ||
      listing_.header.revision <= 0 || (page.more && page.kvs.empty()))
    return fail("the list: its pages do not fit together", Next::List);
  const auto most = static_cast<std::size_t>(options_.maxKeys);
  if (listing_.kvs.size() + page.kvs.size() > most)
    return fail("the list has over " + std::to_string(most) + " keys (max_keys); it is not taken",
                Next::List);
  listing_.kvs.insert(listing_.kvs.end(), page.kvs.begin(), page.kvs.end());
  if (page.more) return askPage(page.kvs.back().key + '\0', listing_.header.revision);
  judge();
}

std::optional<PrefixWatcher::Doubt::Kind> PrefixWatcher::contradiction(const Listing& list) const {
  if (hasList_ && list.header.cluster != cluster_) return Doubt::Kind::OtherCluster;
  if (hasList_ && list.header.revision < revision_) return Doubt::Kind::Older;
  if (list.kvs.empty() && (!hasList_ || !held_.empty())) return Doubt::Kind::Empty;
  return std::nullopt;
}

// Whether the doubt is over with this answer, and it has to be followed.
bool PrefixWatcher::settles(Doubt::Kind kind, const Listing& list) {
  const bool same = doubt_ && doubt_->kind == kind && doubt_->cluster == list.header.cluster &&
                    list.header.revision >= doubt_->revision;
  if (!same) {
    ++counts_.doubts;
    static constexpr const char* kWhat[] = {"no key at all", "an older revision than is known",
                                            "another cluster's keys"};
    report(std::string("etcd: ") + options_.endpoints[endpoint_] + " gives " +
           kWhat[static_cast<std::size_t>(kind)] + "; asking again");
    doubt_ = Doubt{};
    doubt_->kind = kind;
    doubt_->cluster = list.header.cluster;
  }
  doubt_->revision = list.header.revision;
  ++doubt_->answers;
  doubt_->endpoints.insert(endpoint_);
  if (kind == Doubt::Kind::Empty) return doubt_->answers >= kEmptyAnswers;
  return doubt_->answers >= kHistoryAnswers && doubt_->endpoints.size() > options_.endpoints.size() / 2;
}

void PrefixWatcher::judge() {
  if (const auto kind = contradiction(listing_)) {
    if (!settles(*kind, listing_)) {
      endpoint_ = (endpoint_ + 1) % options_.endpoints.size();
      return wait(static_cast<Micros>(kDoubtPause * (0.5 + uniform())), Next::List);
    }
    report("etcd: it was told again, and is followed");
    // Another history's revisions mean other changes: nothing of what is held can be compared with them.
    if (*kind != Doubt::Kind::Empty) held_.clear();
  }
  doubt_.reset();
  accept();
}

void PrefixWatcher::accept() {
  std::map<std::string, Held> before = std::exchange(held_, {});
  modified_.clear();
  for (const KeyValue& kv : listing_.kvs) {
    const auto old = before.find(kv.key);
    Held held = old != before.end() ? std::move(old->second) : Held{};
    if (held.modified != kv.modRevision) decode(kv, held);
    held.created = kv.createRevision;
    held.modified = kv.modRevision;
    modified_.insert(kv.modRevision);
    held_.insert_or_assign(kv.key, std::move(held));
  }
  hasList_ = true;
  cluster_ = listing_.header.cluster;
  revision_ = listing_.header.revision;
  provenAt_ = listing_.sentAt;
  staleReported_ = false;
  history_.clear();
  remember(revision_);
  listing_ = Listing{};
  Publish all;
  all.revision = revision_;
  all.whole = true;
  for (const auto& [key, held] : held_) {
    if (held.instance) all.instances.push_back(*held.instance);
  }
  fetching_ = false;
  act(std::move(all));
  watch();
}

// ---- The watch --------------------------------------------------------------------------------------------

void PrefixWatcher::watch() {
  ++counts_.watches;
  phase_ = Phase::Opening;
  phaseUntil_ = now_ + options_.callTimeout;
  stream_ = ++lastNumber_;
  fragments_.clear();
  act(WatchCall{stream_, endpoint_, prefix_, end_, revision_ + 1});
}

void PrefixWatcher::opened(const WatchResult& watched) {
  if (phase_ != Phase::Opening) return;
  if (watched.header.revision < revision_) return doubtHeader("an older revision than is known");
  phase_ = Phase::Watching;
  silentAt_ = 0;
  // What has just been listed is proved; what is resumed has still to be.
  const bool fresh = now_ - provenAt_ < options_.audit;
  auditAt_ =
      fresh ? now_ + static_cast<Micros>(static_cast<double>(options_.audit) * (0.5 + uniform() / 2)) : now_;
  if (!fresh) audit();
}

void PrefixWatcher::apply(const std::vector<Event>& events) {
  std::map<std::string, Instance> changed;
  Revision last = 0;
  for (const Event& event : events) {
    const Revision revision = event.kv.modRevision;
    if (revision <= revision_) {
      ++counts_.duplicates;
      continue;
    }
    if (revision < last) return relist("events are out of order");
    if (revision > last && last > 0) remember(last);
    last = revision;
    change(event, changed);
  }
  if (last == 0) return;
  remember(last);
  revision_ = last;
  if (!changed.empty()) {
    Publish changes;
    changes.revision = revision_;
    for (auto& [id, instance] : changed) changes.instances.push_back(std::move(instance));
    act(std::move(changes));
  }
  if (audit_ && audit_->answer) compare();
}

void PrefixWatcher::change(const Event& event, std::map<std::string, Instance>& changed) {
  const std::string& key = event.kv.key;
  if (key.compare(0, prefix_.size(), prefix_) != 0) {
    if (badReports_++ < kMaxBadReports)
      report("etcd: an event for a key outside of " + prefix_ + ": " + shown(key));
    return;
  }
  const auto found = held_.find(key);
  std::optional<Instance> before;
  if (found != held_.end()) {
    before = found->second.instance;
    modified_.erase(modified_.find(found->second.modified));
  }
  std::optional<Instance> after;
  if (event.type == Event::Type::Delete) {
    if (found != held_.end()) held_.erase(found);
  } else {
    Held& held = found != held_.end() ? found->second : held_[key];
    decode(event.kv, held);
    held.created = event.kv.createRevision;
    held.modified = event.kv.modRevision;
    modified_.insert(held.modified);
    after = held.instance;
  }
  if (before == after) return;
  if (!after) {
    after = std::move(before);
    after->state = balancer::EndpointState::Gone;
  }
  std::string id = after->id;
  changed.insert_or_assign(std::move(id), *std::move(after));
}

// A value of no use leaves the entry as it was, unless its key is a new one: what the old one named has gone.
void PrefixWatcher::decode(const KeyValue& kv, Held& held) {
  if (held.created != kv.createRevision) held.instance.reset();
  try {
    const auto id = instanceIdOf(prefix_, kv.key);
    if (!id) settings::bad("the key names no instance:", shown(kv.key));
    held.instance = parseInstance(*id, kv.value);
  } catch (const settings::FormatError& error) {
    if (badReports_++ < kMaxBadReports)
      report("etcd: " + shown(kv.key) + " stays as it was: " + error.what());
  }
}

void PrefixWatcher::remember(Revision revision) {
  if (history_.size() >= kMaxHistory) history_.pop_front();
  history_.push_back(
      {revision, static_cast<std::int64_t>(held_.size()), modified_.empty() ? 0 : *modified_.rbegin()});
}

// ---- Audits -----------------------------------------------------------------------------------------------

void PrefixWatcher::audit() {
  ++counts_.audits;
  audit_ = Audit{};
  audit_->call = ++lastNumber_;
  audit_->sentAt = now_;
  audit_->heldThen = revision_;
  auditAt_ = now_ + options_.audit;
  act(RangeCall{audit_->call, endpoint_, prefix_, end_, 1, 0, true, options_.callTimeout});
  if (!options_.progress || silentAt_ > 0) return;
  silentAt_ = now_ + options_.callTimeout;
  act(ProgressRequest{stream_});
}

void PrefixWatcher::audited(const RangeResult& ranged) {
  if (ranged.code != Code::Ok) {
    return fail(
        "the audit: " + std::string(nameOf(ranged.code)) + (ranged.text.empty() ? "" : ", " + ranged.text),
        Next::Resume);
  }
  if (ranged.header.cluster != cluster_) return doubtHeader("another cluster");
  if (ranged.header.revision < audit_->heldThen) return doubtHeader("an older revision than is known");
  audit_->answer =
      State{ranged.header.revision, ranged.count, ranged.kvs.empty() ? 0 : ranged.kvs[0].modRevision};
  audit_->until = now_ + kAuditGrace;
  compare();
}

// The state that is held, as of the audit's revision, against the store's.
void PrefixWatcher::compare() {
  const State& theirs = *audit_->answer;
  const auto after =
      std::upper_bound(history_.begin(), history_.end(), theirs.revision,
                       [](Revision revision, const State& state) { return revision < state.revision; });
  if (after == history_.begin()) {  // more changes since than are remembered: it proves nothing either way
    audit_.reset();
    return;
  }
  const State& ours = *std::prev(after);
  if (ours.count == theirs.count && ours.newest == theirs.newest) {
    provenAt_ = std::max(provenAt_, audit_->sentAt);
    if (theirs.revision > revision_) {
      // No event is missing up to there, so a resumed watch need not go further back.
      revision_ = theirs.revision;
      remember(revision_);
    }
    audit_.reset();
    backoff_.reset();
    if (std::exchange(staleReported_, false) || failing_) report("etcd: the list is proved again");
    failing_ = false;
    lastTrouble_.clear();
    return;
  }
  // Events come in order: one beyond that revision says that none up to it is still to come.
  if (revision_ <= theirs.revision) return;
  ++counts_.withheld;
  relist("the watch has left out changes");
}

// ---- Trouble ----------------------------------------------------------------------------------------------

void PrefixWatcher::doubtHeader(const std::string& what) {
  relist(options_.endpoints[endpoint_] + " speaks of " + what);
}

void PrefixWatcher::relist(const std::string& why) {
  fail(why, Next::List);
}

void PrefixWatcher::fail(const std::string& text, Next next) {
  trouble(text);
  hangUp();
  if (std::exchange(fetching_, false)) act(FetchFailure{});
  endpoint_ = (endpoint_ + 1) % options_.endpoints.size();
  const auto base = static_cast<double>(options_.backoff);
  // The first one goes elsewhere soon; if that fails too, something is wrong that haste makes worse.
  const bool first = !std::exchange(failing_, true);
  const double span =
      first ? base * uniform() : backoff_.next(base, static_cast<double>(options_.maxBackoff), uniform());
  wait(static_cast<Micros>(span), hasList_ ? next : Next::List);
}

void PrefixWatcher::hangUp() {
  if (phase_ == Phase::Opening || phase_ == Phase::Watching) act(WatchClose{stream_});
  stream_ = 0;
  fragments_.clear();
  audit_.reset();
  silentAt_ = 0;
}

void PrefixWatcher::wait(Micros span, Next next) {
  phase_ = Phase::Waiting;
  next_ = next;
  phaseUntil_ = now_ + span;
}

void PrefixWatcher::trouble(const std::string& text) {
  if (text == lastTrouble_ && now_ - troubleAt_ < kTroubleEvery) return;
  lastTrouble_ = text;
  troubleAt_ = now_;
  report("etcd: " + options_.endpoints[endpoint_] + ": " + shown(text) +
         (hasList_ ? "; the list stays" : ""));
}

void PrefixWatcher::report(std::string text) {
  act(LogLine{std::move(text)});
}

}  // namespace ivypost::etcd
