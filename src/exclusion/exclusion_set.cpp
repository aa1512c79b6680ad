// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/exclusion_set.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>

#include "exclusion/error.h"

namespace ivypost::exclusion {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kVersion = 1;

// Checks the format version and the types and sizes of the lists, before any entry is read.
std::error_code checkShape(const json& file) {
  if (!file.is_object()) return Error::NotJson;
  if (!file.contains("version") || file["version"] != kVersion) return Error::UnknownVersion;
  if (!file.contains("out") || !file["out"].is_array()) return Error::NoLists;
  if (!file.contains("back") || !file["back"].is_object()) return Error::NoLists;
  if (std::max(file["out"].size(), file["back"].size()) > ExclusionSet::kMaxEntries)
    return Error::TooManyEntries;
  return {};
}

bool isValidId(const std::string& id) {
  return !id.empty() && id.size() <= ExclusionSet::kMaxIdLength;
}

WallTime timeOf(const json& number) {
  constexpr auto kMax = ExclusionSet::kMaxTime.time_since_epoch().count();
  // Read as unsigned, since a number beyond the signed range would become negative.
  if (number.is_number_unsigned())
    return WallTime(milliseconds(std::min<std::uint64_t>(number.get<std::uint64_t>(), kMax)));
  return WallTime(milliseconds(std::clamp<std::int64_t>(number.get<std::int64_t>(), 0, kMax)));
}

}  // namespace

Outcome ExclusionSet::apply(const Change& change) {
  if (!change.isListed && !isExcluded(change.endpoint)) return Outcome::UnknownEndpoint;
  if (change.kind == Change::Kind::Exclude) return exclude(change.endpoint);
  const WallTime start = std::max(change.now, change.listedStart + milliseconds(1));
  return include(change.endpoint, std::min(start, kMaxTime));
}

Outcome ExclusionSet::exclude(const std::string& endpoint) {
  if (isExcluded(endpoint)) return Outcome::Unchanged;
  if (excluded_.size() >= kMaxEntries || endpoint.size() > kMaxIdLength) return Outcome::Full;
  excluded_.insert(endpoint);
  return Outcome::Changed;
}

Outcome ExclusionSet::include(const std::string& endpoint, WallTime start) {
  if (excluded_.erase(endpoint) == 0) return Outcome::Unchanged;
  if (included_.size() >= kMaxEntries && !included_.contains(endpoint)) {
    included_.erase(std::min_element(included_.begin(), included_.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  included_[endpoint] = start;
  return Outcome::Changed;
}

WallTime ExclusionSet::effectiveStart(const std::string& endpoint, WallTime listedStart) const {
  const auto found = included_.find(endpoint);
  return found == included_.end() ? listedStart : std::max(listedStart, found->second);
}

std::vector<std::string> ExclusionSet::differingEndpoints(const ExclusionSet& other) const {
  std::set<std::string> differing;
  std::set_symmetric_difference(excluded_.begin(), excluded_.end(), other.excluded_.begin(),
                                other.excluded_.end(), std::inserter(differing, differing.end()));
  const auto addDifferingStarts = [&](const ExclusionSet& from, const ExclusionSet& to) {
    for (const auto& [endpoint, start] : from.included_) {
      if (to.effectiveStart(endpoint, WallTime()) != start) differing.insert(endpoint);
    }
  };
  addDifferingStarts(*this, other);
  addDifferingStarts(other, *this);
  return {differing.begin(), differing.end()};
}

std::string ExclusionSet::serialize() const {
  json starts = json::object();
  for (const auto& [endpoint, start] : included_) starts[endpoint] = start.time_since_epoch().count();
  const json file = {{"version", kVersion}, {"out", excluded_}, {"back", starts}};
  // An id may hold any bytes that discovery sent; invalid UTF-8 is replaced, since dump() would throw
  // otherwise.
  return file.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

Result<ExclusionSet> ExclusionSet::parse(std::string_view text) {
  const json file = json::parse(text, nullptr, false);
  if (const auto error = checkShape(file)) return error;
  ExclusionSet set;
  for (const json& id : file["out"]) {
    if (!id.is_string()) return Error::IdNotText;
    if (!isValidId(id.get<std::string>())) return Error::InvalidId;
    set.excluded_.insert(id.get<std::string>());
  }
  for (const auto& [id, start] : file["back"].items()) {
    if (!start.is_number_integer()) return Error::InvalidTime;
    if (!isValidId(id)) return Error::InvalidId;
    set.included_[id] = timeOf(start);
  }
  return set;
}

}  // namespace ivypost::exclusion
