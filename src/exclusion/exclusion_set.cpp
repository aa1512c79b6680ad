// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/exclusion_set.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ivypost::exclusion {
namespace {

constexpr int kVersion = 1;

void check(bool good, const char* why) {
  if (!good) throw std::runtime_error(why);
}

}  // namespace

ExclusionSet::Change ExclusionSet::exclude(const std::string& id) {
  if (isExcluded(id)) return Change::None;
  if (excluded_.size() >= kMaxEntries || id.size() > kMaxIdLength) return Change::Full;
  excluded_.insert(id);
  return Change::Done;
}

ExclusionSet::Change ExclusionSet::include(const std::string& id, std::int64_t nowMs) {
  if (excluded_.erase(id) == 0) return Change::None;
  // The one that came back longest ago has had the most time to be warm.
  if (included_.size() >= kMaxEntries && included_.count(id) == 0) {
    included_.erase(std::min_element(included_.begin(), included_.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  included_[id] = nowMs;
  return Change::Done;
}

std::int64_t ExclusionSet::startedAtMs(const std::string& id, std::int64_t listedMs) const {
  const auto found = included_.find(id);
  return found == included_.end() ? listedMs : std::max(listedMs, found->second);
}

std::vector<std::string> ExclusionSet::differences(const ExclusionSet& other) const {
  std::set<std::string> ids;
  std::set_symmetric_difference(excluded_.begin(), excluded_.end(), other.excluded_.begin(),
                                other.excluded_.end(), std::inserter(ids, ids.end()));
  const auto differ = [&](const ExclusionSet& from, const ExclusionSet& to) {
    for (const auto& [id, at] : from.included_) {
      if (to.startedAtMs(id, 0) != at) ids.insert(id);
    }
  };
  differ(*this, other);
  differ(other, *this);
  return {ids.begin(), ids.end()};
}

std::string ExclusionSet::serialize() const {
  nlohmann::json file = {{"version", kVersion}, {"out", excluded_}, {"back", included_}};
  // An id is whatever bytes discovery gave; what is not UTF-8 would throw.
  return file.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

ExclusionSet ExclusionSet::parse(std::string_view text) {
  const auto file = nlohmann::json::parse(text, nullptr, false);
  check(file.is_object(), "not JSON, or cut short");
  check(file.contains("version") && file["version"] == kVersion, "of another version");
  check(file.contains("out") && file["out"].is_array() && file.contains("back") && file["back"].is_object(),
        "lacks its lists");
  check(file["out"].size() <= kMaxEntries && file["back"].size() <= kMaxEntries, "names too many upstreams");
  ExclusionSet exclusions;
  const auto take = [](const std::string& id) {
    check(!id.empty() && id.size() <= kMaxIdLength, "names an id that can't be one");
    return id;
  };
  for (const auto& id : file["out"]) {
    check(id.is_string(), "names an id that is no text");
    exclusions.excluded_.insert(take(id.get<std::string>()));
  }
  for (const auto& [id, at] : file["back"].items()) {
    check(at.is_number_integer(), "has a time that is none");
    exclusions.included_[take(id)] = at.get<std::int64_t>();
  }
  return exclusions;
}

}  // namespace ivypost::exclusion
