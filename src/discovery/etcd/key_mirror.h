// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_KEY_MIRROR_H_
#define IVYPOST_DISCOVERY_ETCD_KEY_MIRROR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery/etcd/watcher_events.h"

namespace ivypost::discovery::etcd {

/// The keys of one prefix as lists and events have them, and the instances that their values name. No I/O and
/// no clock.
///
/// Invariant: it holds the prefix as the store had it at revision(), every key, also those whose value names
/// no instance, since audits count them. It is changed by what was received alone; a mirror that receives
/// nothing stays as it is.
class KeyMirror {
 public:
  /// What proves that two states of the prefix are the same: if no key of the store's later state has changed
  /// since a revision and there are as many, the two are equal, since a key that was not changed was there.
  struct State {
    Revision revision = 0;   ///< of the store
    std::int64_t count = 0;  ///< of the keys
    Revision newest = 0;     ///< the highest modRevision among them; 0: there is no key
  };
  /// What came of a response's events.
  struct Changes {
    bool isOutOfOrder = false;     ///< the revisions went back: the mirror can't be trusted until replace()
    bool isNew = false;            ///< at least one event was beyond revision()
    std::uint64_t duplicates = 0;  ///< events that were applied before
    std::vector<Instance> instances;  ///< that have changed, by id; those that were removed are Gone
  };
  /// Of a state of the store and the mirror's at the same revision.
  enum class Comparison : std::uint8_t {
    Equal,      ///< nothing is missing
    Different,  ///< changes are missing, or have not come yet
    Unknown,    ///< more changes since than are remembered: it proves nothing either way
  };
  /// Takes one line on a key or value that is left out.
  using Report = std::function<void(std::string)>;

  /// States that are remembered; the oldest is forgotten beyond it.
  static constexpr std::size_t kMaxHistory = 4096;

  /// `prefix`: of the keys, up to the instance's id.
  KeyMirror(std::string prefix, Report report);

  /// Whether there was a list.
  [[nodiscard]] bool hasList() const { return hasList_; }
  /// Whether no key is held.
  [[nodiscard]] bool isEmpty() const { return held_.empty(); }
  /// The id of the cluster whose keys are held.
  [[nodiscard]] std::uint64_t cluster() const { return cluster_; }
  /// All changes up to it are held; 0: there was no list.
  [[nodiscard]] Revision revision() const { return revision_; }
  /// All that keys name, in the keys' order.
  [[nodiscard]] std::vector<Instance> instances() const;

  /// Takes a complete list. A value that names no instance leaves what its key named before, unless the key
  /// is a new one.
  void replace(const Header& header, const std::vector<KeyValue>& keys);
  /// Forgets what keys named, ahead of the replace() by another history: its revisions mean other changes.
  void forgetInstances() { held_.clear(); }
  /// Applies a response's events. Likewise for values that name no instance.
  [[nodiscard]] Changes apply(const std::vector<Event>& events);
  /// Compares the state that was held at the revision of `store`.
  [[nodiscard]] Comparison compare(const State& store) const;
  /// No event is missing up to this revision, which has to be beyond revision().
  void advanceTo(Revision revision);

 private:
  struct Held {
    Revision created = 0;
    Revision modified = 0;
    std::optional<Instance> instance;  // none: its value names none
  };
  using InstancesById = std::map<std::string, Instance>;

  void applyEvent(const Event& event, InstancesById& changed);
  std::optional<Instance> put(const KeyValue& kv);
  void decode(const KeyValue& kv, Held& held);
  void remember(Revision revision);

  const std::string prefix_;
  Report report_;
  bool hasList_ = false;
  std::uint64_t cluster_ = 0;
  Revision revision_ = 0;
  std::map<std::string, Held> held_;  // by key
  std::multiset<Revision> modified_;  // of held_
  std::deque<State> history_;         // the last is now; never empty when there is a list
};

/// A key or a text from outside, fit for one line of the log: cut after 120 bytes, without control
/// characters.
[[nodiscard]] std::string printable(std::string text);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_KEY_MIRROR_H_
