// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "rotation/rotation.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ivypost::rotation {
namespace {

constexpr int kVersion = 1;

void check(bool good, const char* why) {
  if (!good) throw std::runtime_error(why);
}

}  // namespace

Rotation::Change Rotation::exclude(const std::string& id) {
  if (isOut(id)) return Change::None;
  if (out_.size() >= kMost || id.size() > kMaxId) return Change::Full;
  out_.insert(id);
  return Change::Done;
}

Rotation::Change Rotation::include(const std::string& id, std::int64_t nowMs) {
  if (out_.erase(id) == 0) return Change::None;
  // The one that came back longest ago has had the most time to be warm.
  if (back_.size() >= kMost && back_.count(id) == 0) {
    back_.erase(std::min_element(back_.begin(), back_.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  back_[id] = nowMs;
  return Change::Done;
}

std::int64_t Rotation::startedAtMs(const std::string& id, std::int64_t listedMs) const {
  const auto found = back_.find(id);
  return found == back_.end() ? listedMs : std::max(listedMs, found->second);
}

std::vector<std::string> Rotation::differences(const Rotation& other) const {
  std::set<std::string> ids;
  std::set_symmetric_difference(out_.begin(), out_.end(), other.out_.begin(), other.out_.end(),
                                std::inserter(ids, ids.end()));
  const auto differ = [&](const Rotation& from, const Rotation& to) {
    for (const auto& [id, at] : from.back_) {
      if (to.startedAtMs(id, 0) != at) ids.insert(id);
    }
  };
  differ(*this, other);
  differ(other, *this);
  return {ids.begin(), ids.end()};
}

std::string Rotation::text() const {
  nlohmann::json file = {{"version", kVersion}, {"out", out_}, {"back", back_}};
  // An id is whatever bytes discovery gave; what is not UTF-8 would throw.
  return file.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

Rotation Rotation::parse(std::string_view text) {
  const auto file = nlohmann::json::parse(text, nullptr, false);
  check(file.is_object(), "not JSON, or cut short");
  check(file.contains("version") && file["version"] == kVersion, "of another version");
  check(file.contains("out") && file["out"].is_array() && file.contains("back") && file["back"].is_object(),
        "lacks its lists");
  check(file["out"].size() <= kMost && file["back"].size() <= kMost, "names too many upstreams");
  Rotation rotation;
  const auto take = [](const std::string& id) {
    check(!id.empty() && id.size() <= kMaxId, "names an id that can't be one");
    return id;
  };
  for (const auto& id : file["out"]) {
    check(id.is_string(), "names an id that is no text");
    rotation.out_.insert(take(id.get<std::string>()));
  }
  for (const auto& [id, at] : file["back"].items()) {
    check(at.is_number_integer(), "has a time that is none");
    rotation.back_[take(id)] = at.get<std::int64_t>();
  }
  return rotation;
}

}  // namespace ivypost::rotation
