// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/key_mirror.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "discovery/etcd/instance_entry.h"
#include "settings/format_error.h"

namespace ivypost::discovery::etcd {
namespace {

bool isControl(char one) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(one) < kFirstPrintable || one == kDelete;
}

}  // namespace

std::string printable(std::string text) {
  constexpr std::size_t kMaxShown = 120;
  if (text.size() > kMaxShown) text = text.substr(0, kMaxShown) + "...";
  std::replace_if(text.begin(), text.end(), isControl, '?');
  return text;
}

KeyMirror::KeyMirror(std::string prefix, Report report)
    : prefix_(std::move(prefix)), report_(std::move(report)) {}

std::vector<Instance> KeyMirror::instances() const {
  std::vector<Instance> all;
  for (const auto& [key, mirrored] : keys_) {
    if (mirrored.instance) all.push_back(*mirrored.instance);
  }
  return all;
}

void KeyMirror::replace(const Header& header, const std::vector<KeyValue>& keys) {
  std::map<std::string, MirroredKey> before = std::exchange(keys_, {});
  modRevisions_.clear();
  for (const KeyValue& kv : keys) {
    const auto found = before.find(kv.key);
    MirroredKey mirrored = found != before.end() ? std::move(found->second) : MirroredKey{};
    if (mirrored.modRevision != kv.modRevision) decode(kv, mirrored);
    mirrored.createRevision = kv.createRevision;
    mirrored.modRevision = kv.modRevision;
    modRevisions_.insert(kv.modRevision);
    keys_.insert_or_assign(kv.key, std::move(mirrored));
  }
  hasList_ = true;
  cluster_ = header.cluster;
  revision_ = header.revision;
  history_.clear();
  recordState(revision_);
}

KeyMirror::Changes KeyMirror::apply(const std::vector<Event>& events) {
  Changes changes;
  InstancesById changed;
  Revision last = 0;
  for (const Event& event : events) {
    const Revision revision = event.kv.modRevision;
    if (revision <= revision_) {
      ++changes.duplicates;
      continue;
    }
    if (revision < last) {
      changes.isOutOfOrder = true;
      return changes;
    }
    if (revision > last && last > 0) recordState(last);
    last = revision;
    applyEvent(event, changed);
  }
  if (last == 0) return changes;
  recordState(last);
  revision_ = last;
  changes.isNew = true;
  for (auto& [id, instance] : changed) changes.instances.push_back(std::move(instance));
  return changes;
}

void KeyMirror::applyEvent(const Event& event, InstancesById& changed) {
  const std::string& key = event.kv.key;
  if (key.compare(0, prefix_.size(), prefix_) != 0) {
    return report_("etcd: an event for a key outside of " + prefix_ + ": " + printable(key));
  }
  const auto found = keys_.find(key);
  std::optional<Instance> before;
  if (found != keys_.end()) {
    before = found->second.instance;
    modRevisions_.erase(modRevisions_.find(found->second.modRevision));
  }
  std::optional<Instance> after;
  if (event.type == Event::Type::Put) {
    after = applyPut(event.kv);
  } else if (found != keys_.end()) {
    keys_.erase(found);
  }
  if (before == after) return;
  if (!after) {
    after = std::move(before);
    after->state = balancer::EndpointState::Gone;
  }
  std::string id = after->id;
  changed.insert_or_assign(std::move(id), *std::move(after));
}

// Stores the key's new value and returns the instance that the key names now.
std::optional<Instance> KeyMirror::applyPut(const KeyValue& kv) {
  MirroredKey& mirrored = keys_[kv.key];
  decode(kv, mirrored);
  mirrored.createRevision = kv.createRevision;
  mirrored.modRevision = kv.modRevision;
  modRevisions_.insert(mirrored.modRevision);
  return mirrored.instance;
}

// Decodes the value into mirrored.instance. If the value is not a valid instance, the previous instance
// stays, unless the key was deleted and created again: then the previous instance has been removed.
void KeyMirror::decode(const KeyValue& kv, MirroredKey& mirrored) {
  if (mirrored.createRevision != kv.createRevision) mirrored.instance.reset();
  try {
    const auto id = instanceIdOf(prefix_, kv.key);
    if (!id) settings::throwFormatError("the key names no instance:", printable(kv.key));
    mirrored.instance = parseInstance(*id, kv.value);
  } catch (const settings::FormatError& error) {
    report_("etcd: " + printable(kv.key) + " stays as it was: " + error.what());
  }
}

void KeyMirror::recordState(Revision revision) {
  if (history_.size() >= kMaxHistory) history_.pop_front();
  history_.push_back({revision, static_cast<std::int64_t>(keys_.size()),
                      modRevisions_.empty() ? 0 : *modRevisions_.rbegin()});
}

KeyMirror::Comparison KeyMirror::compare(const State& store) const {
  const auto after =
      std::upper_bound(history_.begin(), history_.end(), store.revision,
                       [](Revision revision, const State& state) { return revision < state.revision; });
  if (after == history_.begin()) return Comparison::Unknown;
  const State& mirrored = *std::prev(after);
  const bool isEqual = mirrored.count == store.count && mirrored.newest == store.newest;
  return isEqual ? Comparison::Equal : Comparison::Different;
}

void KeyMirror::advanceTo(Revision revision) {
  revision_ = revision;
  recordState(revision);
}

}  // namespace ivypost::discovery::etcd
