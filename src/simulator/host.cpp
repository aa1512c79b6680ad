// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "simulator/host.h"

#include <string_view>

namespace ivypost::simulator {
namespace {

constexpr std::int64_t kMaxEntries = 10'000'000;

}  // namespace

bool Host::handle(const std::string& text) {
  const settings::Line line(text);
  if (entriesLeft_ > 0) {
    sheets_.at(openSheet_)->push_back(parseSheetEntry(line));
    --entriesLeft_;
    return false;
  }
  const std::string_view name = line.name();
  if (name == "mark") {
    beginBatch(line);
    return false;
  }
  if (!isInBatch_) throw WireError("line outside a batch");
  if (name == "go") {
    isInBatch_ = false;
    reply_ += "end\n";
    return true;
  }
  if (name == "sheet") {
    beginSheet(line);
  } else {
    handleMessage(line);
  }
  return false;
}

void Host::beginBatch(const settings::Line& line) {
  const balancer::Micros now = line.integer("now", 0, settings::kMaxTime);
  if (isInBatch_ || now < now_) throw WireError("mark inside a batch or with a clock that went back");
  now_ = now;
  reply_.clear();
  isInBatch_ = true;
}

void Host::beginSheet(const settings::Line& line) {
  openSheet_ = static_cast<std::size_t>(line.integer("sheet", 0, kMaxSheets - 1));
  entriesLeft_ = line.integer("lines", 0, kMaxEntries);
  sheets_.at(openSheet_).emplace();
}

void Host::handleMessage(const settings::Line& line) {
  const int id = static_cast<int>(line.integer("i", 0, settings::kMaxCount));
  if (line.name() == "create") return create(id, line);
  const auto found = instances_.find(id);
  if (found == instances_.end()) throw WireError("unknown instance");
  if (line.name() == "shutdown") {
    instances_.erase(found);
    return;
  }
  deliver(id, *found->second, line);
}

void Host::create(int id, const settings::Line& line) {
  const bool isNew = instances_.emplace(id, std::make_unique<Instance>(line, now_)).second;
  if (!isNew) throw WireError("instance exists already");
}

void Host::deliver(int id, Instance& instance, const settings::Line& line) {
  const auto event = instance.wire.parse(line, sheetOf(line));
  if (!event) return;
  actions_.clear();
  instance.balancer.handle(*event, now_, actions_);
  for (const balancer::Action& action : actions_) instance.wire.print(id, action, reply_);
}

// Returns null if the line refers to no sheet, or to a sheet that has not been sent.
const Sheet* Host::sheetOf(const settings::Line& line) const {
  if (line.name() != "registry" || !line.find("sheet")) return nullptr;
  const auto& sheet = sheets_.at(static_cast<std::size_t>(line.integer("sheet", 0, kMaxSheets - 1)));
  return sheet ? &*sheet : nullptr;
}

}  // namespace ivypost::simulator
