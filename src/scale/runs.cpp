// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "scale/runs.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "scale/simulated_network.h"

namespace ivypost::scale {
namespace {

using gossip::kMs;
using gossip::kSecond;
using gossip::Members;
using gossip::PeerId;
using gossip::SimulatedNetwork;

constexpr std::array<const char*, kEvents> kNames = {"start", "return",      "rack",    "zone",
                                                     "cut",   "cut-unequal", "rolling", "calm"};
// How often it is looked whether something holds; changes are drained as often, well before Members' bound.
constexpr Micros kStep = 50 * kMs;
// Deafness during a cut is sampled so often, and counts apart from the time within which all is to be known.
constexpr Micros kSample = 500 * kMs, kKnownBy = 8 * kSecond;
// Of incarnations, which takes a copy of each table.
constexpr Micros kTablesStep = 250 * kMs;
// The rack and the zone that go have neither all of the seeds nor none.
constexpr std::size_t kRackBegins = 2, kZone = 1;

double seconds(Micros span) {
  return static_cast<double>(span) / 1e6;
}

std::uint64_t threadNanos() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(time.tv_nsec);
}

class Run {
 public:
  explicit Run(const Plan& plan) : plan_(plan), network_(plan.seed), beganAt_(threadNanos()) {
    network_.faults.loss = plan.loss;
    network_.measureMembers = plan.measureProcessor;
    for (std::size_t n = 0; n < plan.sidecars; ++n) {
      ids_.push_back(SimulatedNetwork::idAt(n));
      numbers_[ids_.back()] = n;
    }
    regions_ = plan.event == Event::Cut || plan.event == Event::CutUnequal;
    // Of unequal regions the first, with the seeds, is the larger: the smaller one hears the fewest.
    firstRegion_ = plan.event == Event::CutUnequal ? plan.sidecars - plan.sidecars / 3 : plan.sidecars / 2;
  }

  Figures play() {
    beginMeasure();
    for (std::size_t n = 0; n < plan_.sidecars; ++n) start(n);
    if (plan_.event == Event::Start) {
      figures_.assembled = true;
      stage("all hear all", plan_.cap, [&] { return allHearAll() && nobodyDeaf(); });
    } else {
      const Micros from = network_.now;
      figures_.assembled = until([&] { return allHearAll() && nobodyDeaf(); }, plan_.assemble);
      figures_.assembleSeconds = seconds(network_.now - from);
      if (!figures_.assembled) return figures_;
      until([] { return false; }, plan_.settle);
      beginMeasure();
      event();
    }
    endMeasure();
    return figures_;
  }

 private:
  void event() {
    switch (plan_.event) {
      case Event::Start:
        break;
      case Event::Return:
        return dieAndReturn({plan_.sidecars / 2});
      case Event::Rack: {
        std::vector<std::size_t> rack(std::min(kRack, plan_.sidecars / 3));
        std::iota(rack.begin(), rack.end(), kRackBegins);
        return dieAndReturn(rack);
      }
      case Event::Zone: {
        std::vector<std::size_t> zone;
        for (std::size_t n = kZone; n < plan_.sidecars; n += kZones) zone.push_back(n);
        return dieAndReturn(zone);
      }
      case Event::Cut:
      case Event::CutUnequal:
        return cutAndHeal();
      case Event::Rolling:
        return rolling();
      case Event::Calm:
        until([] { return false; }, plan_.calmSpan);
    }
  }

  void dieAndReturn(const std::vector<std::size_t>& those) {
    const Micros died = network_.now;
    for (const std::size_t n : those) network_.kill(n);
    stage("death known", plan_.cap, [&] { return allHearAll(); });
    const Micros rest = died + plan_.away - network_.now;
    if (rest > 0) until([] { return false; }, rest);
    for (const std::size_t n : those) start(n);
    const Micros from = network_.now;
    std::optional<Micros> hears, heard;
    until(
        [&] {
          if (!hears && allOf(those, [&](std::size_t n) { return hearsAll(n); })) hears = network_.now;
          if (!heard && everybody([&](std::size_t n) { return hearsLives(n, those); })) heard = network_.now;
          return hears && heard;
        },
        plan_.cap);
    addStage("hears all", from, hears, plan_.cap);
    addStage("heard by all", from, heard, plan_.cap);
  }

  void cutAndHeal() {
    const Micros from = network_.now;
    network_.faults.passes = [this](std::size_t a, std::size_t b) { return regionOf(a) == regionOf(b); };
    std::optional<Micros> known;
    Micros sampled = 0;
    // The cut lasts its span, or longer where its end could not be judged before it is known.
    while (network_.now - from < plan_.cutSpan || (!known && network_.now - from < plan_.cap)) {
      if (!known && othersNotHeard()) known = network_.now;
      if (network_.now - sampled >= kSample) {
        sampled = network_.now;
        const double deaf = deafShare();
        figures_.deafMost = std::max(figures_.deafMost, deaf);
        if (sampled - from >= kKnownBy) figures_.deafMostLater = std::max(figures_.deafMostLater, deaf);
      }
      step(kStep);
    }
    if (known && *known - from > plan_.cap) known.reset();
    addStage("cut known", from, known, plan_.cap);
    network_.faults.passes = {};
    std::vector<std::uint64_t> lives;
    for (std::size_t n = 0; n < plan_.sidecars; ++n) lives.push_back(network_.at(n).incarnation());
    stage("healed", plan_.cap, [&] {
      return allHearAll() && nobodyDeaf() && everybody([&](std::size_t n) { return upToDate(n, lives); });
    });
  }

  // Each dies and is there again at once, as a program that is replaced without a word.
  void rolling() {
    struct Restarted {
      std::size_t number = 0;
      Micros at = 0;
      bool hears = false;
      std::vector<std::size_t> heardBy;
    };
    std::vector<Restarted> open;
    Micros worstHears = 0, worstHeard = 0, next = network_.now;
    bool missed = false;
    const std::size_t restarts = std::min(plan_.restarts, plan_.sidecars);
    for (std::size_t done = 0; done < restarts || !open.empty();) {
      if (done < restarts && network_.now >= next) {
        const std::size_t number = done++ * plan_.sidecars / restarts;
        network_.kill(number);
        start(number);
        open.push_back({number, network_.now, false, {}});
        next += kSecond;
      }
      step(kTablesStep);
      std::vector<std::size_t> heardBy(open.size(), 0);
      for (std::size_t n = 0; n < plan_.sidecars; ++n) {
        const auto lives = livesAt(n);
        for (std::size_t k = 0; k < open.size(); ++k) {
          const auto life = lives.find(open[k].number);
          heardBy[k] += n == open[k].number ||
                        (life != lives.end() && life->second >= network_.at(open[k].number).incarnation());
        }
      }
      for (std::size_t k = 0; k < open.size(); ++k) {
        const Micros took = network_.now - open[k].at;
        if (!open[k].hears && hearsAll(open[k].number)) {
          open[k].hears = true;
          worstHears = std::max(worstHears, took);
        }
        if (heardBy[k] == plan_.sidecars && open[k].hears) {
          worstHeard = std::max(worstHeard, took);
          open[k].at = 0;
        } else if (took > plan_.cap) {
          missed = true;
          open[k].at = 0;
        }
      }
      std::erase_if(open, [](const Restarted& one) { return one.at == 0; });
    }
    addStage("worst of restarts", 0, missed ? std::nullopt : std::optional(std::max(worstHears, worstHeard)),
             plan_.cap);
  }

  // ---- What holds -----------------------------------------------------------------------------------------

  std::size_t running() const {
    std::size_t count = 0;
    for (std::size_t n = 0; n < plan_.sidecars; ++n) count += network_.runs(n) ? 1 : 0;
    return count;
  }
  bool everybody(const std::function<bool(std::size_t)>& holds) const {
    for (std::size_t n = 0; n < plan_.sidecars; ++n)
      if (network_.runs(n) && !holds(n)) return false;
    return true;
  }
  static bool allOf(const std::vector<std::size_t>& those, const std::function<bool(std::size_t)>& holds) {
    return std::all_of(those.begin(), those.end(), holds);
  }
  // Hears each that runs, and no other. The counts first, which cost nothing.
  bool hearsAll(std::size_t n) const { return members(n).reachableCount() == running() && namesRight(n); }
  bool namesRight(std::size_t n) const {
    for (std::size_t other = 0; other < plan_.sidecars; ++other)
      if (network_.runs(other) && !members(n).isReachable(ids_[other])) return false;
    return true;
  }
  bool allHearAll() const {
    const std::size_t count = running();
    return everybody([&](std::size_t n) { return members(n).reachableCount() == count; }) &&
           everybody([&](std::size_t n) { return namesRight(n); });
  }
  bool nobodyDeaf() const {
    return everybody([&](std::size_t n) { return !members(n).isIsolated(network_.now); });
  }
  double deafShare() const {
    std::size_t deaf = 0, count = 0;
    for (std::size_t n = 0; n < plan_.sidecars; ++n) {
      if (!network_.runs(n)) continue;
      ++count;
      deaf += members(n).isIsolated(network_.now) ? 1 : 0;
    }
    return static_cast<double>(deaf) / static_cast<double>(std::max<std::size_t>(count, 1));
  }
  // Hears these in the lives that they have now.
  bool hearsLives(std::size_t n, const std::vector<std::size_t>& those) const {
    if (!allOf(those, [&](std::size_t one) { return members(n).isReachable(ids_[one]); })) return false;
    const auto lives = livesAt(n);
    return allOf(those, [&](std::size_t one) {
      if (one == n) return true;
      const auto life = lives.find(one);
      return life != lives.end() && life->second >= members(one).incarnation();
    });
  }
  // Believes of nobody what was outbid before.
  bool upToDate(std::size_t n, const std::vector<std::uint64_t>& lives) const {
    for (const gossip::Update& update : members(n).updates()) {
      const auto number = numbers_.find(update.id);
      if (number == numbers_.end() || update.state == gossip::State::Dead ||
          update.incarnation < lives[number->second])
        return false;
    }
    return true;
  }
  bool othersNotHeard() const {
    return everybody([&](std::size_t n) {
      const std::size_t own = regionOf(n) == 1 ? firstRegion_ : plan_.sidecars - firstRegion_;
      if (members(n).reachableCount() > own) return false;
      for (std::size_t other = 0; other < plan_.sidecars; ++other)
        if (regionOf(other) != regionOf(n) && members(n).isReachable(ids_[other])) return false;
      return true;
    });
  }
  // Incarnations of those whom it does not take for dead, by their numbers.
  std::unordered_map<std::size_t, std::uint64_t> livesAt(std::size_t n) const {
    std::unordered_map<std::size_t, std::uint64_t> lives;
    for (const gossip::Update& update : members(n).updates()) {
      const auto number = numbers_.find(update.id);
      if (number != numbers_.end() && update.state != gossip::State::Dead)
        lives[number->second] = update.incarnation;
    }
    return lives;
  }

  // ---- Steps ----------------------------------------------------------------------------------------------

  const Members& members(std::size_t n) const { return network_.at(n); }
  std::uint8_t regionOf(std::size_t n) const { return n < firstRegion_ ? 1 : 2; }

  void start(std::size_t number) {
    network_.start(number, static_cast<std::uint32_t>(plan_.sidecars), [&](gossip::Settings& settings) {
      settings.antiEntropy = plan_.antiEntropy;
      if (!regions_) return;
      settings.region = regionOf(number);
      settings.regionExpected =
          static_cast<std::uint32_t>(settings.region == 1 ? firstRegion_ : plan_.sidecars - firstRegion_);
      if (plan_.seedsInBoth)
        settings.seeds = {SimulatedNetwork::addressOf(0), SimulatedNetwork::addressOf(1),
                          SimulatedNetwork::addressOf(firstRegion_)};
    });
  }

  void step(Micros span) {
    network_.run(span);
    for (std::size_t n = 0; n < plan_.sidecars; ++n) {
      if (!network_.runs(n)) continue;
      for (const gossip::Change& change : network_.at(n).takeChanges()) {
        const auto number = numbers_.find(change.id);
        if (change.state != gossip::State::Dead || number == numbers_.end() || !network_.runs(number->second))
          continue;
        const bool reachable = !network_.faults.passes || network_.faults.passes(n, number->second);
        falseDeaths_ += reachable ? 1 : 0;
      }
    }
  }

  bool until(const std::function<bool()>& holds, Micros atMost) {
    for (const Micros end = network_.now + atMost; network_.now < end;
         step(std::min(kStep, end - network_.now)))
      if (holds()) return true;
    return holds();
  }

  void stage(const std::string& name, Micros cap, const std::function<bool()>& holds) {
    const Micros from = network_.now;
    const bool reached = until(holds, cap);
    addStage(name, from, reached ? std::optional(network_.now) : std::nullopt, cap);
  }
  void addStage(const std::string& name, Micros from, std::optional<Micros> at, Micros cap) {
    Stage stage{name, std::nullopt, seconds(cap)};
    if (at) stage.seconds = seconds(*at - from);
    figures_.stages.push_back(stage);
  }

  // ---- Costs ----------------------------------------------------------------------------------------------

  void beginMeasure() {
    network_.resetAccounts();
    network_.membersNanos = 0;
    falseDeaths_ = 0;
    beganAt_ = threadNanos();
    measuredFrom_ = network_.now;
  }
  void endMeasure() {
    const double nanos = static_cast<double>(threadNanos() - beganAt_);
    const double span = seconds(network_.now - measuredFrom_);
    const double sidecarSeconds = std::max(1e-6, span * static_cast<double>(plan_.sidecars));
    std::uint64_t sent = 0, received = 0, datagrams = 0, sentPeak = 0, receivedPeak = 0;
    for (std::size_t n = 0; n < plan_.sidecars; ++n) {
      const auto& account = network_.account(n);
      sent += account.sent.bytes();
      received += account.received.bytes();
      datagrams += account.sent.datagrams();
      sentPeak = std::max(sentPeak, account.sent.peak());
      receivedPeak = std::max(receivedPeak, account.received.peak());
    }
    figures_.simulatedSeconds = span;
    figures_.sentMean = static_cast<double>(sent) / sidecarSeconds;
    figures_.receivedMean = static_cast<double>(received) / sidecarSeconds;
    figures_.datagramsMean = static_cast<double>(datagrams) / sidecarSeconds;
    figures_.sentPeak = static_cast<double>(sentPeak);
    figures_.receivedPeak = static_cast<double>(receivedPeak);
    figures_.falseDeaths = falseDeaths_;
    if (plan_.measureProcessor) {
      figures_.processor = nanos / 1000 / sidecarSeconds;
      figures_.processorMembers = static_cast<double>(network_.membersNanos) / 1000 / sidecarSeconds;
    }
    if (!plan_.allocated) return;
    const std::int64_t before = plan_.allocated();
    const std::size_t count = running();
    for (std::size_t n = 0; n < plan_.sidecars; ++n)
      if (network_.runs(n)) network_.kill(n);
    figures_.memory = static_cast<double>(before - plan_.allocated()) / static_cast<double>(count);
  }

  const Plan& plan_;
  mutable SimulatedNetwork network_;  // at() of one that is not changed is not const
  std::vector<PeerId> ids_;
  std::unordered_map<PeerId, std::size_t> numbers_;
  bool regions_ = false;
  std::size_t firstRegion_ = 0;
  std::uint64_t beganAt_, falseDeaths_ = 0;
  Micros measuredFrom_ = 0;
  Figures figures_;
};

}  // namespace

const char* nameOf(Event event) {
  return kNames.at(static_cast<std::size_t>(event));
}

std::optional<Event> eventOf(const std::string& name) {
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<Event>(found - kNames.begin());
}

Figures run(const Plan& plan) {
  if (plan.sidecars < 2 * kZones || plan.sidecars > gossip::kMaxMembers)
    throw std::invalid_argument("a run takes from " + std::to_string(2 * kZones) + " to " +
                                std::to_string(gossip::kMaxMembers) + " sidecars, not " +
                                std::to_string(plan.sidecars));
  return Run(plan).play();
}

}  // namespace ivypost::scale
