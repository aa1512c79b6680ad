// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "discovery/etcd/contradiction.h"

namespace ivypost::discovery::etcd {
namespace {

// Number of consecutive lists that must agree. An empty list needs fewer than the other kinds, so that nodes
// which really were removed stop getting requests within the time limit (kStaleThreshold).
constexpr int kEmptyLists = 2;
constexpr int kOtherHistoryLists = 3;

}  // namespace

Contradiction::Outcome Contradiction::add(Kind kind, const Header& header, std::size_t endpoint,
                                          std::size_t endpoints) {
  Outcome outcome;
  outcome.isNew = !isContinuedBy(kind, header);
  if (outcome.isNew) current_ = Sequence{kind, header.cluster, 0, 0, {}};
  current_->revision = header.revision;
  ++current_->lists;
  current_->endpoints.insert(endpoint);
  const bool hasMajority = current_->endpoints.size() > endpoints / 2;
  outcome.isAccepted = kind == Kind::Empty ? current_->lists >= kEmptyLists
                                           : current_->lists >= kOtherHistoryLists && hasMajority;
  return outcome;
}

bool Contradiction::isContinuedBy(Kind kind, const Header& header) const {
  return current_ && current_->kind == kind && current_->cluster == header.cluster &&
         header.revision >= current_->revision;
}

const char* describe(Contradiction::Kind kind) {
  switch (kind) {
    case Contradiction::Kind::Empty:
      return "no key at all";
    case Contradiction::Kind::Older:
      return "an older revision than is known";
    case Contradiction::Kind::OtherCluster:
      return "another cluster's keys";
  }
  return "";
}

}  // namespace ivypost::discovery::etcd
