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

/// A copy of the keys of one prefix, built from lists and watch events, with the instances that their
/// values name. No I/O and no clock.
///
/// Invariant: the mirror holds every key of the prefix at revision() of the store, including keys whose value
/// is not a valid instance, since audits count them. It changes only by received lists and events; while
/// nothing is received, it keeps its keys.
class KeyMirror {
 public:
  /// Summary of a state of the prefix, by which two states are compared. If no key of the later state has
  /// been modified since the earlier revision, each of its keys was also in the earlier state; if the
  /// counts are equal too, the states are equal.
  struct State {
    Revision revision = 0;   ///< revision of the store
    std::int64_t count = 0;  ///< number of keys
    Revision newest = 0;     ///< the highest modRevision of the keys; 0: there are no keys
  };
  /// Result of applying the events of a response.
  struct Changes {
    bool isOutOfOrder =
        false;           ///< the events' revisions decrease: the mirror is not reliable until replace()
    bool isNew = false;  ///< at least one event had a revision after revision()
    std::uint64_t duplicates = 0;  ///< number of events that had been applied before
    std::vector<Instance>
        instances;  ///< the changed instances, ordered by id; removed instances have the state Gone
  };
  /// Result of comparing a state of the store with the mirror's state at the same revision.
  enum class Comparison : std::uint8_t {
    Equal,      ///< the mirror has missed no change
    Different,  ///< the mirror has missed changes, or has not received them yet
    Unknown,    ///< the revision is older than the history kept: the comparison proves nothing
  };
  /// Takes a one-line message about a key or value that is ignored.
  using Report = std::function<void(std::string)>;

  /// Maximum number of states in the history; the oldest state is dropped beyond it.
  static constexpr std::size_t kMaxHistory = 4096;

  /// `prefix` is the part of the keys before the instance id. `report` is called for invalid keys and
  /// values.
  KeyMirror(std::string prefix, Report report);

  /// Whether a list has been received.
  [[nodiscard]] bool hasList() const { return hasList_; }
  /// Whether the mirror holds no keys.
  [[nodiscard]] bool isEmpty() const { return keys_.empty(); }
  /// The id of the cluster that the keys come from.
  [[nodiscard]] std::uint64_t cluster() const { return cluster_; }
  /// The mirror holds all changes up to this revision; 0: no list has been received.
  [[nodiscard]] Revision revision() const { return revision_; }
  /// The instances that the keys name, ordered by key.
  [[nodiscard]] std::vector<Instance> instances() const;

  /// Replaces the keys by a complete list. If a value is not a valid instance, the previous instance of its
  /// key stays, unless the key was deleted and created again.
  void replace(const Header& header, const std::vector<KeyValue>& keys);
  /// Forgets all keys and instances. Call before replace() with the list of another history (an older
  /// revision or another cluster), whose revisions are not comparable with those of the known keys.
  void forgetKeys() { keys_.clear(); }
  /// Applies the events of a response. Values that are not valid instances are handled as in replace().
  [[nodiscard]] Changes apply(const std::vector<Event>& events);
  /// Compares `store` with the mirror's state at the revision of `store`.
  [[nodiscard]] Comparison compare(const State& store) const;
  /// Records that no event up to this revision is missing. `revision` must be greater than revision().
  void advanceTo(Revision revision);

 private:
  struct MirroredKey {
    Revision createRevision = 0;
    Revision modRevision = 0;
    std::optional<Instance> instance;  // none: the value is not a valid instance
  };
  using InstancesById = std::map<std::string, Instance>;

  void applyEvent(const Event& event, InstancesById& changed);
  std::optional<Instance> applyPut(const KeyValue& kv);
  void decode(const KeyValue& kv, MirroredKey& mirrored);
  void recordState(Revision revision);

  const std::string prefix_;
  Report report_;
  bool hasList_ = false;
  std::uint64_t cluster_ = 0;
  Revision revision_ = 0;
  std::map<std::string, MirroredKey> keys_;  // by key
  std::multiset<Revision> modRevisions_;     // the modRevisions in keys_
  std::deque<State>
      history_;  // ordered by revision, the last is the current state; not empty once there is a list
};

/// Makes a key or a received text safe for one line of the log: truncates it to 120 bytes and replaces
/// control characters.
[[nodiscard]] std::string printable(std::string text);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_KEY_MIRROR_H_
