// Copyright 2026 The orchiddrum authors. SPDX-License-Identifier: Apache-2.0
//
// All decisions of orchiddrum. The interface (settings, events, actions) is include/orchiddrum/balancer.h.
// Parts, in order: repeat rules and budget, draw odds and the pick, slow start, concurrency limits, health,
// membership and readiness, connections and home, attempts and answers, looks, admission, timers.
#include "orchiddrum/balancer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <queue>
#include <random>
#include <stdexcept>
#include <unordered_map>

#include "balancer/bounded_settings.h"
#include "balancer/deadline.h"
#include "balancer/endpoint_registry.h"
#include "balancer/latency_statistics.h"
#include "balancer/load_information.h"
#include "balancer/priority.h"
#include "balancer/random_source.h"
#include "balancer/request.h"
#include "balancer/request_estimates.h"
#include "balancer/retry_policy.h"
#include "balancer/send_rate.h"
#include "balancer/slow_start.h"
#include "figures.h"

namespace orchiddrum {
using namespace internal;
namespace {

// Odds of a cold upstream that has its credit, and of a trial that is this sidecar's turn, against all warm
// ones together: its turn has come already.
constexpr double kColdOdds = 0.125;
// At their start all sidecars ask discovery by their numbers, one in this time (microseconds), but all within
// this part of askWithin. Failed calls back off from these parts of askWithin or that spread, up to these.
constexpr double kFleetCallGap = 35'000, kDiscoverySpread = 0.5;
constexpr double kDiscoveryRetry = 1.0 / 32, kSpreadRetry = 0.25;
constexpr double kDiscoveryLongest = 0.25, kSpreadLongest = 1.5;

// Concurrency limit of an upstream, in this sidecar's own attempts. It starts low, since all sidecars start
// at once, and rises by one for each limit's worth of timely answers. One under one is kept by rests.
constexpr double kStartLimit = 1;
constexpr double kMinLimit = 0.1;
constexpr double kMaxLimit = 1e6;
// It falls by this factor, once a round trip, at a refusal, a time-out or a slow answer.
constexpr double kLimitBackoff = 0.7;
// An answer is slow that took more than this part of its aim beyond the shortest from that upstream; half of
// that scales with the request's hint of work. Upstreams below the mean size get up to so many times longer.
constexpr double kSlowPart = 0.15;
constexpr double kMaxSlowStretch = 2;

// So many attempts in a row that meet crowding (a refusal, a time-out, or an answer that took more than this
// part of its aim), at whatever upstreams, are chance; more rest the whole sidecar.
constexpr int kCrowdedBeforeRest = 2;
constexpr double kCrowdedAim = 0.3;
// A blind sidecar has so many times what it usually has in flight in calm times, and so many more, out at the
// most: room for chance alone. What all have beyond that waits at the upstreams and slows them down for long.
constexpr double kWholeRoom = 3, kWholeSpare = 2;

// The failure rate of an upstream is smoothed with this weight for one outcome; this far above that of all
// upstreams together it is ejected: at two failures close together, not at one.
constexpr double kFailureGain = 0.2;
constexpr double kFailureExcess = 0.3;
// The first ejection lasts this long, each further one twice as long, up to so many doublings.
constexpr Micros kEjection = 1'000'000;
constexpr int kMaxEjectionDoublings = 3;
// At most this share of the listed may be ejected at once: beyond it suspect load, the network or us.
// Hearsay adds to them up to the second share alone. So many others have to agree, one less where few are
// heard.
constexpr double kMaxEjected = 0.5, kMaxHearsay = 0.25;
constexpr std::uint32_t kWitnesses = 3, kFewHeard = 6;
constexpr Micros kLongestHearsay = 2'000'000;

// An upstream with attempts out is silent after this many times the usual time to an answer.
constexpr double kSilence = 4;

// Crowded is one with more in hand than it works on at once and so many times the root of that, for chance.
constexpr double kQueueing = 1;

// Weights of a report that tells of fewer, and of more, requests worked on at once than thought: CPU shares
// trail, so reports tell of far too many while load rises.
constexpr double kAtOnceFalls = 0.1;
constexpr double kAtOnceRises = 0.02;

// A CPU busier than this tells how many requests would fill it.
constexpr double kTellingCpu = 0.3;

// An upstream that reports less of its CPU busy than this is not crowded, however slow an answer was.
constexpr double kSpareCpu = 0.8;

// Where crossing zones has a price, an upstream in another zone is drawn at this part of its odds.
constexpr double kCrossZoneOdds = 0.25;

// A sidecar with little traffic keeps a home, the upstreams it holds connections to: as many as it uses so
// often in the time that an idle connection is kept, so many at least, so many a request out at most.
constexpr double kUsesPerConnection = 4;
constexpr double kMinHome = 4;
constexpr double kHomePerInFlight = 4;
// All other upstreams together keep this share of its draws.
constexpr double kAwayShare = 0.02;

// Where probes tell the requests in hand, a sidecar with fewer own requests in flight than this for each
// upstream looks at the picked one before it sends: so many looks a request at most, none beyond what costs
// this part of its worth, and one is given up after so many times the usual time of a look.
constexpr double kMaxLookPrice = 0.016;
constexpr double kMaxLooks = 4;
constexpr double kLookPatience = 4;

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now)
      : settings_(boundedSettings(settings)), random_(seed), now_(now), sendRate_(settings_, now) {
    looks_ = settings_.mayProbe && settings_.reportsBusy && settings_.probePrice <= kMaxLookPrice;
    lookLag_.resize(std::max<std::uint32_t>(1, settings_.zones));
    // Limits bind only sidecars that are not blind, and of these there can only be so many.
    const double part = std::min(1.0, kFewSidecars / std::min(1 / kBlindCount, 1.0 * settings_.sidecars));
    startLimit_ = kStartLimit * part;
    limitGrowth_ = std::pow(part, 2);
  }

  void handle(const Event& event, Micros now, std::vector<Action>& actions) {
    validate(event);
    now_ = std::max(now_, now);
    actions_ = &actions;
    blind_ = seesLittle(settings_, latency_, sendRate_, endpoints_.listed().size(), now_);
    std::visit([this](const auto& e) { on(e); }, event);
    serveHeld();
    armTimer();
  }

  std::uint32_t inFlight(UpstreamId id) const {
    return endpoints_.contains(id) ? endpoints_[id].inFlight : 0;
  }
  bool ready(UpstreamId id, Micros now) const {
    return endpoints_.contains(id) && isReady(endpoints_[id], now);
  }
  std::optional<UpstreamId> remembered() const {
    return slot_ == kNone ? std::nullopt : std::optional<UpstreamId>(slot_);
  }
  std::size_t openRequests() const { return open_; }
  std::size_t heldRequests() const { return held_.size(); }

 private:
  void validate(const Event& event) const {
    if (const auto* update = std::get_if<MembershipUpdate>(&event)) {
      for (const UpstreamEntry& entry : update->entries) {
        if (entry.zone >= settings_.zones || entry.kind >= settings_.kinds || entry.size < 0 ||
            !std::isfinite(entry.size))
          throw std::invalid_argument("list entry outside the settings");
      }
      return;
    }
    if (!started_) throw std::invalid_argument("event before the first list");
    if (const auto* request = std::get_if<NewRequest>(&event)) {
      if (request->requestClass >= settings_.classes.size()) throw std::invalid_argument("unknown class");
      if (request->tenant && *request->tenant >= settings_.tenants.size()) {
        throw std::invalid_argument("unknown tenant");
      }
      if (requests_.count(request->request) != 0) throw std::invalid_argument("request id is open already");
    } else if (const auto* outcome = std::get_if<AttemptOutcome>(&event)) {
      const auto found = requests_.find(outcome->request);
      if (found != requests_.end() && outcome->attempt >= found->second.attempts.size())
        throw std::invalid_argument("outcome of an attempt that was never sent");
    }
  }

  template <class T>
  void act(T action) {
    actions_->emplace_back(std::move(action));
  }

  Permission permission(const Request& request) { return retryPolicy_.permission(request, reduced_, now_); }

  bool mayGoTo(UpstreamId id, const Request& request, const Permission& may) const {
    return retryPolicy_.mayGoTo(id, endpoints_[id], request, may, now_);
  }

  // ---- Draw odds and the pick -----------------------------------------------------------------------------

  // Guards against an own zone that has more traffic than it can carry: the less CPU its upstreams report
  // spare, the less it is preferred.
  double zoneOdds(const Upstream& upstream) const {
    if (settings_.crossZonePrice <= 0 || upstream.zone == settings_.zone) return 1;
    return std::pow(kCrossZoneOdds, std::min(1.0, (1 - ownZoneCpu_) / (1 - kSpareCpu)));
  }

  // How well an upstream suits a request, around one. It follows the registered size: at zero counts the draw
  // decides alone, and a blind uniform draw overloads the small. Heavy requests bend it further and light
  // ones less: on a slow upstream the heavy cannot be in time. Bounded, as the paper asks of odds.
  double suits(const Request& request, UpstreamId id) {
    const Upstream& upstream = endpoints_[id];
    const double speed = upstream.size / endpoints_.meanSize() / std::sqrt(slowness(upstream, now_));
    double bend = std::pow(speed, std::sqrt(request.heaviness));
    bend = std::clamp(bend, 1 / kMaxBias, kMaxBias);
    return bend * zoneOdds(upstream);
  }

  UpstreamId draw(const std::vector<UpstreamId>& eligible, const Request& request) {
    odds_.clear();
    double home = 0, away = 0;
    for (const UpstreamId id : eligible) {
      odds_.push_back(suits(request, id));
      if (slowStart_.warmth(endpoints_[id], now_) >= 1) (endpoints_[id].home ? home : away) += odds_.back();
    }
    // Upstreams away from home keep a share of the draws, so that better ones are found.
    const bool apart = home > 0 && away > 0 && hasHome();
    const double cut = apart ? std::min(1.0, kAwayShare / (1 - kAwayShare) * home / away) : 1;
    const double cold = kColdOdds * (home + away * cut);
    double sum = 0;
    for (std::size_t n = 0; n < eligible.size(); ++n) {
      const Upstream& upstream = endpoints_[eligible[n]];
      const bool due =
          slowStart_.warmth(upstream, now_) < 1 || (upstream.halfOpen && now_ < upstream.toldUntil);
      odds_[n] = sum +=
          due ? std::max(odds_[n], cold * zoneOdds(upstream)) : odds_[n] * (upstream.home ? 1 : cut);
    }
    const auto at = std::upper_bound(odds_.begin(), odds_.end(), random_.uniform() * sum) - odds_.begin();
    return eligible[std::min<std::size_t>(static_cast<std::size_t>(at), eligible.size() - 1)];
  }

  // The ordinary path of every request: one draw and one remembered upstream, compared by this sidecar's own
  // requests in flight. A tie goes to the draw and leaves the memory alone.
  UpstreamId pick(const std::vector<UpstreamId>& eligible, const Request& request) {
    const UpstreamId drawn = draw(eligible, request);
    const bool comparable = std::find(eligible.begin(), eligible.end(), slot_) != eligible.end();
    const bool slotLighter = comparable && endpoints_[slot_].inFlight < endpoints_[drawn].inFlight;
    const bool drawnLighter = slot_ == kNone || endpoints_[drawn].inFlight < endpoints_[slot_].inFlight;
    const UpstreamId picked = slotLighter ? slot_ : drawn;
    if (drawnLighter) slot_ = drawn;
    return picked;
  }

  // ---- Concurrency limits ---------------------------------------------------------------------------------

  // Guards against crowding: each sidecar sees only its own part of an upstream's queue, but refusals and
  // slow answers reach them all, and all give way (additive increase, multiplicative decrease).
  void adjustLimit(Upstream& upstream, const Request& request, Micros sentAt, Micros lag, Outcome outcome) {
    const bool answered = outcome == Outcome::Ok || outcome == Outcome::Error;
    if (!answered && outcome != Outcome::Full && outcome != Outcome::Timeout) return;
    if (answered && !isSlow(upstream, request, lag)) {
      // Guards against limits that grow in quiet times and let the next burst crowd everybody.
      if (upstream.inFlight + 2 > upstream.limit)
        upstream.limit = std::min(kMaxLimit, upstream.limit + std::min(1.0, limitGrowth_ / upstream.limit));
    } else if (answered && upstream.cpuShare && *upstream.cpuShare < kSpareCpu) {
      return;  // slow, but not crowded
    } else if (sentAt >= upstream.limitCutAt) {
      upstream.limit = std::max(kMinLimit, upstream.limit * kLimitBackoff);
      upstream.limitCutAt = now_;
    }
    if (upstream.limit < 1 && !blind_) {
      // Guards against crowding by many sidecars at once, when one attempt from each is already too much.
      const auto busy = static_cast<double>(std::max(lag, settings_.resolution));
      rest(upstream, std::min(busy * (1 / upstream.limit - 1), 1.0 * kEjection));
    }
  }

  bool isSlow(const Upstream& upstream, const Request& request, Micros lag) const {
    const double stretch = std::clamp(endpoints_.meanSize() / upstream.size, 1.0, kMaxSlowStretch);
    const double line = kSlowPart * static_cast<double>(request.aim) * stretch * (1 + request.heaviness) / 2;
    return static_cast<double>(lag - upstream.shortestLag) > line;
  }

  // ---- Health ---------------------------------------------------------------------------------------------

  // Guards against an upstream whose quick refusals or failed connects keep its count lowest. It is left
  // alone for about one service time, twice as long at each further refusal in a row.
  void pause(Upstream& upstream, Micros serviceTime) {
    const double wait = static_cast<double>(std::max(serviceTime, settings_.resolution)) *
                        std::exp2(std::min(upstream.refusals++, kMaxEjectionDoublings));
    rest(upstream, std::min(wait * (0.5 + random_.uniform()), 1.0 * kEjection));
  }

  void rest(Upstream& upstream, double span) {
    upstream.pausedUntil = std::max(upstream.pausedUntil, now_ + static_cast<Micros>(span));
    deadlines_.push({upstream.pausedUntil, 0, Wake::What::Ready});
  }

  // Guards against storms when everybody is full: pauses and limits of single upstreams do not bind a blind
  // sidecar, which always finds another.
  void restIfCrowded(const Request& request, Outcome outcome, Micros lag) {
    const double line = kCrowdedAim * static_cast<double>(request.aim) * (1 + request.heaviness) / 2;
    const bool crowded = outcome == Outcome::Full || outcome == Outcome::Timeout ||
                         (outcome == Outcome::Ok && static_cast<double>(lag) > line);
    if (outcome == Outcome::Ok && !crowded) {
      crowdedInRow_ = 0;
      if (out_ + 2 > wholeLimit_) wholeLimit_ += 1 / wholeLimit_;
      wholeLimit_ = std::clamp(kWholeRoom * sendRate_.usualInFlight(latency_.calmLag(), now_) + kWholeSpare,
                               1.0, wholeLimit_);
    }
    if (!crowded || ++crowdedInRow_ <= kCrowdedBeforeRest || !blind_) return;
    wholeLimit_ = std::max(1.0, wholeLimit_ * kLimitBackoff);
    const int doublings = std::min(crowdedInRow_ - kCrowdedBeforeRest, kMaxEjectionDoublings + 2) - 3;
    restFrom_ = now_;
    restFor_ = latency_.overallLag() * std::exp2(doublings) * (0.5 + random_.uniform());
    for (const RequestId id : held_) deadlines_.push({restEnd(requests_.at(id)), 0, Wake::What::Ready});
  }

  // The less a request is worth against the worthiest, the longer it rests.
  Micros restEnd(const Request& request) const {
    return restFrom_ + static_cast<Micros>(restFor_ / (2 * priority_.relativeWorth(request)));
  }

  // Guards against upstreams that fail what they get (errors, resets, no connection, silence).
  void observeHealth(UpstreamId id, Outcome outcome) {
    Upstream& upstream = endpoints_[id];
    if (outcome == Outcome::Cancelled || outcome == Outcome::Moot || outcome == Outcome::Full) return;
    const double failed = outcome == Outcome::Ok ? 0 : 1;
    upstream.answers = outcome == Outcome::Ok || outcome == Outcome::Error;
    const auto listed = static_cast<double>(std::max<std::size_t>(1, endpoints_.listed().size()));
    smooth(fleetFailureRate_, failed, kFailureGain / listed);
    smooth(upstream.failureRate, failed, kFailureGain);
    if (failed == 0) upstream.refusals = 0, upstream.servedAt = now_;
    if (upstream.halfOpen && upstream.failureRate < kFailureExcess / 2) {
      upstream.halfOpen = false;
      upstream.ejections = 0;
      upstream.ejectedUntil = now_;
      act(Log{"upstream readmitted: " + std::to_string(id)});
    }
    const bool bad = upstream.failureRate > kFailureExcess + fleetFailureRate_;
    if (failed > 0 && now_ >= upstream.ejectedUntil && (upstream.halfOpen || bad) && !eject(id))
      pause(upstream, static_cast<Micros>(latency_.overallLag()));
  }

  // Guards against trials by all sidecars: where others say something of one that is out, each is one's turn.
  static bool mayTry(const Upstream& upstream, Micros now) {
    return now >= upstream.toldUntil || upstream.turn;
  }

  // Own fresh evidence beats hearsay. What enough others have found is an ejection like one's own, but of
  // fewer upstreams and never of the last ready; that one of them was served since only permits a trial.
  void on(const Hearsay& event) {
    if (!endpoints_.contains(event.upstream)) return;
    Upstream& upstream = endpoints_[event.upstream];
    if (!upstream.listed || event.launchedAt != upstream.launchedAt) return;
    upstream.toldUntil = now_ + std::clamp<Micros>(event.holds, 0, kLongestHearsay);
    upstream.turn = event.turn || event.well;
    if (event.well && upstream.halfOpen) upstream.ejectedUntil = std::min(upstream.ejectedUntil, now_);
    if (event.well || upstream.halfOpen || now_ - upstream.servedAt < kOwnWord ||
        event.witnesses < (event.sidecars < kFewHeard ? kWitnesses - 1 : kWitnesses))
      return;
    const auto another = [&](UpstreamId id) { return id != event.upstream && isReady(endpoints_[id], now_); };
    if (std::any_of(endpoints_.listed().begin(), endpoints_.listed().end(), another))
      eject(event.upstream, kMaxHearsay);
  }

  // False if so many are out already that this one has to stay.
  bool eject(UpstreamId id, double most = kMaxEjected) {
    const auto out =
        std::count_if(endpoints_.listed().begin(), endpoints_.listed().end(), [this](UpstreamId other) {
          return endpoints_[other].halfOpen || now_ < endpoints_[other].ejectedUntil;
        });
    Upstream& upstream = endpoints_[id];
    const double others = static_cast<double>(out) - (upstream.halfOpen ? 1 : 0);
    if (others + 1 > most * static_cast<double>(endpoints_.listed().size())) return false;
    const double wait =
        static_cast<double>(kEjection) * std::exp2(std::min(upstream.ejections, kMaxEjectionDoublings));
    // Jittered, so that sidecars which saw the same failure do not come back together.
    upstream.ejectedUntil = now_ + static_cast<Micros>(wait * (0.75 + random_.uniform() / 2));
    deadlines_.push({upstream.ejectedUntil, 0, Wake::What::Ready});
    if (!upstream.halfOpen) act(Log{"upstream ejected: " + std::to_string(id)});
    ++upstream.ejections;
    upstream.halfOpen = true;
    upstream.failureRate = kFailureExcess;
    return true;
  }

  // ---- Membership and readiness ---------------------------------------------------------------------------

  // It takes requests and answers none: no time-out has come yet, but the others would have answered by now.
  bool isSilent(const Upstream& upstream, Micros now) const {
    return upstream.inFlight > 0 &&
           static_cast<double>(now - upstream.heardAt) > kSilence * latency_.overallLag();
  }

  bool isReady(const Upstream& upstream, Micros now) const {
    if (!upstream.listed || !slowStart_.hasColdCredit(upstream, now)) return false;
    if (now < upstream.ejectedUntil || now < upstream.pausedUntil) return false;
    if (upstream.halfOpen && (upstream.inFlight > 0 || !mayTry(upstream, now))) return false;
    if (isSilent(upstream, now)) return false;
    return upstream.inFlight == 0 || static_cast<double>(upstream.inFlight) + 1 <= upstream.limit;
  }

  void on(const MembershipUpdate& update) {
    const bool first = !started_;
    started_ = true;
    if (update.kind == MembershipUpdate::Kind::Failed) {
      const auto asked = static_cast<double>(std::max(settings_.askWithin, 32 * settings_.resolution));
      const double base = std::max(asked * kDiscoveryRetry, discoverySpread() * kSpreadRetry);
      const double longest = std::max(asked * kDiscoveryLongest, discoverySpread() * kSpreadLongest);
      if (!discoveryWait_.waits()) act(Log{"discovery lost: deciding on the last list"});
      askLater(discoveryWait_.next(base, std::max(base, longest), random_.uniform()));
      return;
    }
    if (discoveryWait_.waits()) act(Log{"discovery is back"});
    discoveryWait_.reset();
    for (const UpstreamId id : endpoints_.apply(update, startLimit_, random_)) hangUp(id);
    if (slot_ != kNone && !endpoints_[slot_].listed) slot_ = kNone;
    if (!first && update.kind != MembershipUpdate::Kind::Saved) return;
    const double phase = static_cast<double>(settings_.sidecar % settings_.sidecars) / settings_.sidecars;
    phase* discoverySpread() > 0 ? askLater(phase * discoverySpread()) : askDiscovery();  // it may be stale
  }

  // Guards against idle connections that hold up a drain: they are closed at the notice, at each outcome
  // there, and once more shortly before the time is up: some become idle without an outcome.
  void hangUp(UpstreamId id) {
    if (settings_.hangUpWithin <= 0) return;
    act(CloseIdle{id});
    const Micros again = settings_.hangUpWithin - 2 * settings_.resolution;
    if (again > 0) deadlines_.push({now_ + again, id, Wake::What::HangUp});
  }

  double discoverySpread() const {
    if (!settings_.mustSubscribe || settings_.sidecars <= kFewSidecars) return 0;
    return std::min(kDiscoverySpread * static_cast<double>(settings_.askWithin),
                    kFleetCallGap * settings_.sidecars);
  }

  void askLater(double delay) {
    deadlines_.push({now_ + static_cast<Micros>(delay), 0, Wake::What::Discovery});
  }

  void askDiscovery() { settings_.mustSubscribe ? act(Subscribe{}) : act(Fetch{}); }

  // ---- Connections and home -------------------------------------------------------------------------------

  // How many upstreams are worth a connection kept.
  double homeSize() const {
    const double used = sendRate_.sendsInIdleTime(now_) / kUsesPerConnection;
    return std::max(kMinHome,
                    std::min(used, kHomePerInFlight * sendRate_.usualInFlight(latency_.calmLag(), now_)));
  }

  // Traffic too little to use every upstream's connection: the home is smaller than the list.
  bool hasHome() const {
    return settings_.idleClose > 0 && homeSize() < static_cast<double>(endpoints_.listed().size());
  }

  bool isConnected(const Upstream& upstream) const {
    return upstream.connections > 0 && static_cast<double>(now_ - upstream.heardAt) < sendRate_.idleTime();
  }

  // Whether a send finds room on an open connection; where nothing is known of them it counts as found.
  bool reuses(const Upstream& upstream) const {
    if (settings_.idleClose <= 0 || settings_.maxStreams == 0) return true;
    return isConnected(upstream) && upstream.inFlight / settings_.maxStreams < upstream.connections;
  }

  void learnConnection(Upstream& upstream, const Attempt& attempt, Outcome outcome) {
    // Guards against what died with all its connections: a reset, or the second failed connect in a row.
    const bool failed = outcome == Outcome::ConnectFailed;
    if (outcome == Outcome::Reset || (failed && upstream.unreached)) upstream.connections = 0;
    upstream.unreached = failed;
    if (!attempt.connects || outcome == Outcome::Cancelled || outcome == Outcome::Timeout ||
        outcome == Outcome::Moot)
      return;
    if (!failed) ++upstream.connections;
  }

  // How many more the home has room for.
  double homeRoom() const {
    return homeSize() -
           static_cast<double>(std::count_if(endpoints_.listed().begin(), endpoints_.listed().end(),
                                             [this](UpstreamId id) { return endpoints_[id].home; }));
  }

  // One that was sent to joins the home while there is room; one that did not answer well leaves it.
  void settle(UpstreamId id, const Request& request, Outcome outcome, Micros lag) {
    if (settings_.idleClose <= 0 || outcome == Outcome::Cancelled || outcome == Outcome::Moot) return;
    Upstream& upstream = endpoints_[id];
    const double usual = latency_.typicalLag(request.requestClass) * request.heaviness;
    const bool late = usual > 0 && static_cast<double>(lag) > kSilence * usual;
    if (outcome != Outcome::Ok || late || !upstream.listed || homeRoom() < 0) upstream.home = false;
  }

  // Guards against connections that many sidecars with little traffic keep open to no use: they fill the
  // upstreams' tables. One that will idle out before its next use is closed at once.
  void closeUnused(UpstreamId id) {
    if (endpoints_[id].inFlight > 0 || endpoints_[id].home || !hasHome()) return;
    endpoints_[id].connections = 0;
    act(CloseIdle{id});
  }

  // ---- Attempts and answers -------------------------------------------------------------------------------

  void on(const NewRequest& event) {
    Request request = estimates_.arrive(event, now_);
    Request& stored = requests_.emplace(event.request, std::move(request)).first->second;
    ++open_;
    retryPolicy_.countRequest(now_);
    deadlines_.push({stored.deadline, event.request, Wake::What::Deadline});
    // Held no longer than leaves time to be served: work for a client that has gone is wasted.
    stored.holdUntil = std::min(stored.deadline, now_ + stored.aim) -
                       static_cast<Micros>(latency_.typicalLag(event.requestClass));
    if (!isHeldUp(stored)) slowStart_.earnCredit(stored, endpoints_, now_);
    dispatch(event.request, stored);
  }

  // Whether a blind sidecar has all out that it may. What is out at silent ones tells nothing of the others.
  bool isWholeOut() const {
    if (!blind_ || out_ + 1 <= wholeLimit_) return false;
    double working = out_;
    for (const UpstreamId id : endpoints_.listed())
      if (isSilent(endpoints_[id], now_)) working -= endpoints_[id].inFlight;
    return working > 0 && working + 1 > wholeLimit_;
  }

  // Whether no upstream would get it now, however many are ready.
  bool isHeldUp(const Request& request) const {
    return (restFor_ > 0 && now_ < restEnd(request)) || isWholeOut();
  }

  std::vector<UpstreamId>& eligible(const Request& request, const Permission& may) {
    eligible_.clear();
    if (!may.send || isHeldUp(request)) return eligible_;
    for (const UpstreamId id : endpoints_.listed())
      if (isReady(endpoints_[id], now_) && mayGoTo(id, request, may)) eligible_.push_back(id);
    // A repeat goes to an upstream that this request has not met, as long as there is one.
    const auto met = [&](UpstreamId id) {
      return std::any_of(request.attempts.begin(), request.attempts.end(),
                         [id](const Attempt& attempt) { return attempt.upstream == id; });
    };
    const auto fresh = std::stable_partition(eligible_.begin(), eligible_.end(), std::not_fn(met));
    if (fresh != eligible_.begin()) eligible_.erase(fresh, eligible_.end());
    return eligible_;
  }

  // Sends the request if the rules and the ready set allow; else holds it while an attempt may still come, or
  // answers it.
  void dispatch(RequestId id, Request& request) {
    const Permission may = permission(request);
    const std::vector<UpstreamId>& choice = eligible(request, may);
    if (!choice.empty()) {
      const UpstreamId to = pick(choice, request);
      const bool unseen = looks_ && blind_ && request.looks < looksFor(request, settings_.probePrice);
      (unseen && mayLook()) ? look(id, request, to) : send(id, request, to);
    } else if (request.out == 0) {
      if (may.send && now_ < request.holdUntil) {
        held_.push_back(id);
        deadlines_.push({restEnd(request), 0, Wake::What::Ready});
        deadlines_.push({request.holdUntil, id, Wake::What::Hold});
      } else {
        giveUp(id, request);
      }
    }
  }

  // Guards against refusing what an ejected upstream might still serve: one that answers at all answers some.
  // That is its trial. One that is silent gets nothing: a refusal lets the client try again.
  void giveUp(RequestId id, Request& request) {
    const Permission may = permission(request);
    eligible_.clear();
    for (const UpstreamId to : endpoints_.listed()) {
      const Upstream& upstream = endpoints_[to];
      const bool free =
          upstream.halfOpen && upstream.answers && upstream.inFlight == 0 && mayTry(upstream, now_);
      if (free && mayGoTo(to, request, may)) eligible_.push_back(to);
    }
    if (eligible_.empty()) return answer(id, request);
    std::erase(held_, id);
    std::erase(looking_, id);
    send(id, request,
         eligible_[static_cast<std::size_t>(random_.uniform() * static_cast<double>(eligible_.size()))]);
  }

  void send(RequestId id, Request& request, UpstreamId to) {
    // Guards the rules against every other part of this module: they have the last word.
    if (!mayGoTo(to, request, permission(request))) return answer(id, request);
    retryPolicy_.countAttempt(request, now_);
    slowStart_.earnCredit(request, endpoints_, now_);
    Upstream& upstream = endpoints_[to];
    slowStart_.spendCredit(upstream, request, now_);
    const bool connects = !reuses(upstream);
    if (connects && upstream.inFlight == 0) upstream.connections = 0;  // what was open has idled out
    if (upstream.inFlight++ == 0) upstream.heardAt = now_;
    if (settings_.idleClose > 0 && homeRoom() >= 1) upstream.home = true;
    priority_.countUsage(request, now_);
    sendRate_.count(now_);
    request.attempts.push_back({to, upstream.zone, upstream.cell, now_, true, true, connects});
    ++request.out;
    ++out_;
    act(Send{id, to, 0});
  }

  // The final answer. A refusal, where the rules allow it, since it lets the client try again.
  void answer(RequestId id, Request& request) {
    const Permission may = permission(request);
    if (!may.refuse && !may.fail) return;
    may.refuse ? act(Refuse{id, comeBack()}) : act(Fail{id});
    close(id, request);
  }

  // When what is out and what is held will be answered at the pace of now (Little's law), spread in time.
  Micros comeBack() {
    const auto most = static_cast<double>(settings_.retryAfter ? settings_.maxRetryAfter : 0);
    const double wait =
        latency_.overallLag() * (1 + static_cast<double>(held_.size() + 1) / std::max(1.0, out_));
    return most < 1 ? 0 : static_cast<Micros>(within(wait * (0.5 + random_.uniform()), 1, most));
  }

  // The request is over: what is still out for it serves nobody.
  void close(RequestId id, Request& request) {
    if (!request.over) --open_;
    request.over = true;
    std::erase(looking_, id);
    std::erase(held_, id);  // guards against a hold that grows for as long as nobody is ready
    if (!request.streaming) cancelAllBut(kNone, id, request);
    if (request.out == 0) requests_.erase(id);
  }

  void cancelAllBut(std::uint32_t kept, RequestId id, const Request& request) {
    if (!settings_.mayCancel) return;
    for (std::uint32_t n = 0; n < request.attempts.size(); ++n)
      if (request.attempts[n].out && n != kept) act(Cancel{id, n});
  }

  // Any outcome leaves the count; so does an answer that begins to stream: the rest is its client's pace.
  void leaveCount(Attempt& attempt) {
    if (attempt.counted) --out_, --endpoints_[attempt.upstream].inFlight;
    attempt.counted = false;
  }

  void on(const AttemptOutcome& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) return;
    Request& request = found->second;
    Attempt& attempt = request.attempts[event.attempt];
    if (!attempt.out) return;
    attempt.out = false;
    attempt.mayHaveRun = !provesNeverRan(event.outcome);
    --request.out;
    leaveCount(attempt);
    Upstream& upstream = endpoints_[attempt.upstream];
    upstream.heardAt = now_;
    request.spent = request.spent || event.spent;
    const Micros lag = now_ - attempt.sentAt - event.transfer;
    learnConnection(upstream, attempt, event.outcome);
    // A connect that failed where other connections stand says nothing of the upstream.
    const bool reached = event.outcome == Outcome::ConnectFailed && isConnected(upstream);
    if (!reached) settle(attempt.upstream, request, event.outcome, lag);
    if (upstream.listed) {
      closeUnused(attempt.upstream);
    } else {
      hangUp(attempt.upstream);
    }
    if (event.report) {
      learnReport(upstream, *event.report);
      // Guards against crowding that an upstream reports before answers are slow.
      if (event.report->busyRequests && isCrowded(request, upstream, *event.report))
        rest(upstream, latency_.typicalLag(request.requestClass));
    }
    if (event.outcome == Outcome::Ok) latency_.learn(upstream, request, lag, now_);
    if (event.outcome == Outcome::Full || (event.outcome == Outcome::ConnectFailed && !reached))
      pause(upstream, static_cast<Micros>(latency_.typicalLag(request.requestClass)));
    restIfCrowded(request, event.outcome, lag);
    if (!reached) observeHealth(attempt.upstream, event.outcome);
    adjustLimit(upstream, request, attempt.sentAt, lag, event.outcome);
    if (request.over) {
      if (request.out == 0) requests_.erase(found);
    } else if (event.last) {
      close(event.request, request);
    } else if (request.out == 0) {
      dispatch(event.request, request);  // nothing of it is out any more
    }
  }

  void on(const AttemptStarted& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || found->second.over) return;
    if (event.attempt >= found->second.attempts.size()) throw std::invalid_argument("never sent");
    found->second.streaming = true;
    leaveCount(found->second.attempts[event.attempt]);
    cancelAllBut(event.attempt, event.request, found->second);
  }

  void on(const Withdrawn& event) {
    const auto found = requests_.find(event.request);
    if (found != requests_.end() && !found->second.over) close(event.request, found->second);
  }

  // ---- Looks ----------------------------------------------------------------------------------------------

  void on(const ReducedService& event) {
    reduced_ = event;
    reduced_.probes = within(event.probes, 0, 1);
  }

  // Under reduced service one look in so many, evenly.
  bool mayLook() {
    lookCredit_ = std::min(1.0, lookCredit_ + reduced_.probes);
    if (lookCredit_ < 1) return false;
    lookCredit_ -= reduced_.probes < 1 ? 1 : 0;
    return true;
  }

  // How long a look at this upstream is waited for, by the usual time of one into its zone: another data
  // centre is far. Before one was answered from there it is what a connection may take.
  Micros lookPatience(const Upstream& upstream) const {
    const double usual = lookLag_[upstream.zone];
    const auto patience = usual > 0 ? static_cast<Micros>(kLookPatience * usual) : settings_.connectTimeout;
    return std::max(patience, 2 * settings_.resolution);
  }

  // Guards against blind picks of many sidecars with little traffic each: own counts are nearly all zero and
  // tell nothing of what the others send. The pick stands unless the upstream proves not to be ready.
  void look(RequestId id, Request& request, UpstreamId to) {
    if (request.looks++ == 0) deadlines_.push({request.holdUntil, id, Wake::What::Hold});
    request.lookAt = to;
    request.lookUntil = now_ + lookPatience(endpoints_[to]);
    deadlines_.push({request.lookUntil, id, Wake::What::Look});
    looking_.push_back(id);
    act(Probe{to});
  }

  void on(const ProbeResult& event) {
    if (!endpoints_.contains(event.upstream)) return;
    Upstream& upstream = endpoints_[event.upstream];
    double& lookLag = lookLag_[upstream.zone];
    smooth(lookLag, static_cast<double>(event.lag), lookLag > 0 ? kLagGain : 1);
    if (event.report) learnReport(upstream, *event.report);
    const double usual = usualBusy_;
    const double busy = event.report ? event.report->busyRequests.value_or(-1) / upstream.size : -1;
    if (busy >= 0) smooth(usualBusy_, busy, usual < 0 ? 1 : kLagGain);
    endLooks([&](const Request& request) { return request.lookAt == event.upstream; },
             [&](const Request& request) {
               // One that has no figures yet is not crowded for that: reports may be far between.
               if (event.ok && !upstream.reported) return Verdict::Room;
               if (!event.ok || busy < 0 || isCrowded(request, upstream, *event.report))
                 return Verdict::Crowded;
               return usual >= 0 && busy > usual ? Verdict::Busier : Verdict::Room;
             });
  }

  // What any report tells. An upstream works on as many requests at once as it has in hand less those
  // waiting; or as it would have in hand if its CPU had nothing to spare; or, when it has none, as the time
  // to an answer leaves of them against that of calm times (Little's law).
  void learnReport(Upstream& upstream, const LoadReport& report) {
    if (report.cpuShare) {
      upstream.cpuShare = within(*report.cpuShare, 0, 1);
      if (upstream.zone == settings_.zone) smooth(ownZoneCpu_, *upstream.cpuShare, kFailureGain);
    }
    if (!report.busyRequests) return;
    upstream.reported = true;
    double atOnce = 0;
    if (report.queued && *report.queued >= 1) {
      atOnce = *report.busyRequests - *report.queued;
    } else if (report.cpuShare && *report.cpuShare >= kSpareCpu) {
      atOnce = std::min(*report.busyRequests * latency_.calmLag() / latency_.overallLag(),
                        atOnce_ * upstream.size);
    } else if (report.cpuShare && *report.cpuShare > kTellingCpu) {
      atOnce = *report.busyRequests / *report.cpuShare;
    }
    atOnce /= upstream.size;
    if (atOnce > 0)
      smooth(atOnce_, atOnce, atOnce_ <= 0 ? 1 : atOnce < atOnce_ ? kAtOnceFalls : kAtOnceRises);
  }

  // The less a request is worth against the worthiest, the fewer looks at this price. When as many as are for
  // nothing find crowding, it gives way: fewer, where they are dear, prove nothing of the others.
  int looksFor(const Request& request, double price) const {
    const double looks = std::min(kMaxLooks, kMaxLookPrice / std::max(1e-9, price));
    return std::max(1, static_cast<int>(std::ceil(std::floor(looks) * priority_.relativeWorth(request))));
  }

  // Crowded, if what is in hand takes it too long; busier, if it has more in hand for its size than those
  // looked at before.
  enum class Verdict { Room, Busier, Crowded };

  bool isCrowded(const Request& request, const Upstream& upstream, const LoadReport& report) {
    const double busy = *report.busyRequests;
    // Little's law: what is in hand over what is served a second is the time that a request spends there.
    if (report.servedPerSecond)
      return busy >= 2 && busy * 1e6 > *report.servedPerSecond * kSlowPart * static_cast<double>(request.aim);
    const double atOnce = atOnce_ * upstream.size;
    return atOnce > 0 && busy + 1 > atOnce + kQueueing * std::sqrt(atOnce);
  }

  template <class Which, class Judge>
  void endLooks(Which which, Judge judge) {
    std::vector<RequestId> ended;
    for (const RequestId id : looking_)
      if (which(requests_.at(id))) ended.push_back(id);
    for (const RequestId id : ended) {
      std::erase(looking_, id);
      Request& request = requests_.at(id);
      const UpstreamId at = request.lookAt;
      const Verdict verdict = judge(request);
      const Permission may = permission(request);
      const auto& choice = eligible(request, may);
      const bool stillReady = std::find(choice.begin(), choice.end(), at) != choice.end();
      const bool lastLook = request.looks >= looksFor(request, settings_.probePrice);
      if (stillReady && (verdict == Verdict::Room || (verdict == Verdict::Busier && lastLook))) {
        send(id, request, at);
        continue;
      }
      // One that is only busier than usual is left out of this request's other looks.
      if (verdict == Verdict::Busier) rest(endpoints_[at], kMaxLooks * lookLag_[endpoints_[at].zone]);
      if (verdict == Verdict::Crowded) rest(endpoints_[at], latency_.typicalLag(request.requestClass));
      // Guards against refusing for one crowded upstream a request whose other looks have met room.
      request.crowdedLooks += verdict == Verdict::Crowded;
      request.crowdedLooks >= looksFor(request, 0) ? answer(id, request) : dispatch(id, request);
    }
  }

  // ---- Admission and fairness -----------------------------------------------------------------------------

  bool anyReady() const {
    return std::any_of(endpoints_.listed().begin(), endpoints_.listed().end(),
                       [this](UpstreamId id) { return isReady(endpoints_[id], now_); });
  }

  // Gives held requests another look, the worthiest first, for as long as somebody is ready for one of them.
  void serveHeld() {
    while (!held_.empty() && !isWholeOut() && anyReady()) {
      auto next = held_.end();
      double bestWorth = -1;
      for (auto at = held_.end(); at-- != held_.begin();) {
        const Request& request = requests_.at(*at);
        const double worth = priority_.heldWorth(request);
        if (worth <= bestWorth || eligible(request, permission(request)).empty()) continue;
        next = at;
        bestWorth = worth;
      }
      if (next == held_.end()) return;
      const RequestId id = *next;
      held_.erase(next);
      dispatch(id, requests_.at(id));
    }
  }

  // ---- Timers ---------------------------------------------------------------------------------------------

  void on(const TimerDue&) {
    deadlines_.timerFired(now_);
    while (const auto due = deadlines_.popDue(now_)) {
      const Wake wake = *due;
      if (wake.what == Wake::What::Discovery) {
        askDiscovery();
        continue;
      }
      if (wake.what == Wake::What::HangUp) {
        const auto id = static_cast<UpstreamId>(wake.request);
        if (!endpoints_[id].listed) act(CloseIdle{id});
        continue;
      }
      if (wake.what == Wake::What::Ready) continue;  // held requests get their look after every event
      const auto found = requests_.find(wake.request);
      if (found == requests_.end()) continue;
      Request& request = found->second;
      if (wake.what == Wake::What::Look) {
        if (request.lookUntil <= now_)
          endLooks([&](const Request& other) { return &other == &request; },
                   [](const Request&) { return Verdict::Crowded; });
        continue;
      }
      if (wake.what == Wake::What::Hold) {
        // Guards against holding what can no longer be served in time: better the client hears at once.
        if (!request.over && request.out == 0 && request.holdUntil <= now_) giveUp(wake.request, request);
        continue;
      }
      // Guards the last answer: nothing of a request that has not begun to stream outlives its deadline.
      if (!request.over && !request.streaming && request.deadline <= now_) answer(wake.request, request);
    }
  }

  void armTimer() {
    if (const auto timer = deadlines_.arm(now_)) act(*timer);
  }

  Settings settings_;
  ReducedService reduced_;
  double lookCredit_ = 0;
  RandomSource random_;
  Micros now_ = 0;
  SendRate sendRate_;
  LatencyStatistics latency_{settings_.classes.size()};
  SlowStart slowStart_{settings_};
  RetryPolicy retryPolicy_{settings_, slowStart_};
  RequestEstimates estimates_{settings_};
  Priority priority_{settings_, latency_};
  bool started_ = false;
  std::vector<Action>* actions_ = nullptr;

  EndpointRegistry endpoints_;
  Deadlines deadlines_;
  bool blind_ = false;               // own counts tell nothing, as of this event
  double wholeLimit_ = kStartLimit;  // of out_, for a blind sidecar
  double out_ = 0;                   // attempts without an outcome
  int crowdedInRow_ = 0;             // outcomes that tell of crowding, of any upstreams
  Micros restFrom_ = 0;              // the whole sidecar rests
  double restFor_ = 0;               // for this long, a request of half the greatest worth
  double startLimit_ = kStartLimit;  // of an upstream just named
  double limitGrowth_ = 1;           // of a limit, for each limit's worth of timely answers
  double fleetFailureRate_ = 0;
  double ownZoneCpu_ = 0;    // smoothed, as upstreams of the own zone report it
  UpstreamId slot_ = kNone;  // the remembered upstream
  DecorrelatedJitter discoveryWait_;

  std::unordered_map<RequestId, Request> requests_;  // looked up only, never iterated
  std::size_t open_ = 0;
  bool looks_ = false;              // upstreams are looked at before they are sent to
  std::vector<RequestId> looking_;  // wait for a look
  std::vector<double> lookLag_;     // smoothed time of a look, by zone; 0: none was answered yet
  double usualBusy_ = -1;           // smoothed, of requests in hand for the size, as reported
  std::vector<RequestId> held_;     // in the order they came to be held
  double atOnce_ = 0;               // smoothed, of requests that an upstream works on at once, for its size
  std::vector<UpstreamId> eligible_;
  std::vector<double> odds_;  // running sums, for the draw
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(const Event& event, Micros now, std::vector<Action>& actions) {
  impl_->handle(event, now, actions);
}
std::uint32_t Balancer::inFlight(UpstreamId upstream) const {
  return impl_->inFlight(upstream);
}
bool Balancer::ready(UpstreamId upstream, Micros now) const {
  return impl_->ready(upstream, now);
}
std::optional<UpstreamId> Balancer::remembered() const {
  return impl_->remembered();
}
std::size_t Balancer::openRequests() const {
  return impl_->openRequests();
}
std::size_t Balancer::heldRequests() const {
  return impl_->heldRequests();
}

}  // namespace orchiddrum
