// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Hosts the balancers of many simulated sidecars on the simulator's wire: standard input to standard output.
// Each instance has its own Balancer and its own Wire; nothing is shared between instances but the sheets.
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulator/wire.h"

namespace {

using ivypost::balancer::Action;
using ivypost::balancer::Balancer;
using ivypost::balancer::Micros;
using ivypost::settings::Line;
using ivypost::simulator::SheetEntry;
using ivypost::simulator::Wire;
using ivypost::simulator::WireError;

struct Instance {
  explicit Instance(const Line& create, Micros now)
      : wire(create), balancer(wire.settings(), wire.seed(), now) {}
  Wire wire;
  Balancer balancer;
};

class Host {
 public:
  // Handles one line; true when a reply is due.
  bool take(const std::string& text) {
    const Line line(text);
    if (entriesLeft_ > 0) {
      sheets_[openSheet_]->push_back(ivypost::simulator::parseSheetEntry(line));
      --entriesLeft_;
      return false;
    }
    const std::string_view name = line.name();
    if (name == "mark") {
      const Micros now = line.integer("now", 0, std::int64_t{1} << 53);
      if (inBatch_ || now < now_) throw WireError("mark inside a batch or with a clock that went back");
      now_ = now;
      inBatch_ = true;
      return false;
    }
    if (!inBatch_) throw WireError("line outside a batch");
    if (name == "go") {
      inBatch_ = false;
      reply_ += "end\n";
      return true;
    }
    if (name == "sheet") {
      openSheet_ = static_cast<std::size_t>(line.integer("sheet", 0, static_cast<int>(sheets_.size()) - 1));
      entriesLeft_ = line.integer("lines", 0, 10'000'000);
      sheets_[openSheet_].emplace();
      return false;
    }
    const int id = static_cast<int>(line.integer("i", 0, 1'000'000'000));
    if (name == "create") {
      if (!instances_.emplace(id, std::make_unique<Instance>(line, now_)).second) {
        throw WireError("instance exists already");
      }
      return false;
    }
    const auto found = instances_.find(id);
    if (found == instances_.end()) throw WireError("unknown instance");
    if (name == "shutdown") {
      instances_.erase(found);
      return false;
    }
    Instance& instance = *found->second;
    const std::vector<SheetEntry>* sheet = nullptr;
    if (name == "registry" && line.find("sheet")) {
      const auto& numbered = sheets_[static_cast<std::size_t>(line.integer("sheet", 0, 15))];
      if (numbered) sheet = &*numbered;
    }
    if (const auto event = instance.wire.parse(line, sheet)) {
      actions_.clear();
      instance.balancer.handle(*event, now_, actions_);
      for (const Action& action : actions_) instance.wire.print(id, action, reply_);
    }
    return false;
  }

  std::string& reply() { return reply_; }
  bool midBatch() const { return inBatch_; }

 private:
  Micros now_ = 0;
  bool inBatch_ = false;
  std::array<std::optional<std::vector<SheetEntry>>, 16> sheets_;
  std::size_t openSheet_ = 0;
  std::int64_t entriesLeft_ = 0;
  std::map<int, std::unique_ptr<Instance>> instances_;
  std::vector<Action> actions_;
  std::string reply_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  Host host;
  std::string line;
  long number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++number;
      if (!host.take(line)) continue;
      std::fwrite(host.reply().data(), 1, host.reply().size(), stdout);
      if (std::fflush(stdout) != 0) return 1;
      host.reply().clear();
    }
    if (host.midBatch()) throw WireError("input ended inside a batch");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivypost-simulator-adapter: line %ld: %s: %.120s\n", number, error.what(),
                 line.c_str());
    return 1;
  }
  return 0;
}
