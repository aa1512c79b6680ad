// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_SIMULATOR_HOST_H_
#define IVYPOST_SIMULATOR_HOST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ivypost/balancer.h"
#include "settings/line.h"
#include "simulator/sheet.h"
#include "simulator/wire.h"

namespace ivypost::simulator {

/// Hosts the balancers of many simulated sidecars: turns input lines into output lines, without I/O. Lines
/// come in batches, from `mark`, which sets the clock, to `go`, which ends the batch and asks for the reply.
/// Each instance has its own Balancer and its own Wire; instances share only the sheets.
class Host {
 public:
  /// Handles one line, without its line end; true if the reply must be sent now. Throws WireError for a line
  /// that is malformed or out of order, and std::invalid_argument for settings that Balancer rejects. Don't
  /// use the host after an exception.
  [[nodiscard]] bool handle(const std::string& text);

  /// The reply to the finished batch: the lines of all actions, then `end`. Valid until the next handle().
  [[nodiscard]] const std::string& reply() const { return reply_; }

  /// Whether a batch has begun and has not ended.
  [[nodiscard]] bool isInBatch() const { return isInBatch_; }

 private:
  // The maximum number of sheets. The simulator numbers them from 0 and may send a sheet again to replace it.
  static constexpr std::size_t kMaxSheets = 16;

  struct Instance {
    Instance(const settings::Line& create, balancer::Micros now)
        : wire(create), balancer(wire.settings(), wire.seed(), now) {}
    Wire wire;
    balancer::Balancer balancer;
  };

  void beginBatch(const settings::Line& line);
  void beginSheet(const settings::Line& line);
  void handleMessage(const settings::Line& line);
  void create(int id, const settings::Line& line);
  void deliver(int id, Instance& instance, const settings::Line& line);
  [[nodiscard]] const Sheet* sheetOf(const settings::Line& line) const;

  balancer::Micros now_ = 0;
  bool isInBatch_ = false;
  std::array<std::optional<Sheet>, kMaxSheets> sheets_;
  std::size_t openSheet_ = 0;
  std::int64_t entriesLeft_ = 0;  // number of entries that the open sheet still lacks
  std::map<int, std::unique_ptr<Instance>> instances_;
  std::vector<balancer::Action> actions_;  // of one event; a member so that its memory is reused
  std::string reply_;
};

}  // namespace ivypost::simulator

#endif  // IVYPOST_SIMULATOR_HOST_H_
