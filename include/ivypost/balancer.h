// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The interface of ivypost: settings, events, actions and the Balancer that turns one into the other.
//
// Life cycle. Construct one Balancer for each sidecar process (or simulated instance). The first event must
// be a MembershipUpdate of kind Saved (an empty list is fine); then feed every event in the order it
// happened. Destroying the object abandons all that it held.
//
// Time. All times and durations are microseconds. `now` must never go backwards; a smaller value is taken as
// the last one seen. The balancer reads no clock: it asks to be woken with SetTimer and hears TimerDue.
//
// Threads. A Balancer is not synchronised: call it from one thread at a time. Separate objects share nothing.
//
// Ownership. handle() copies what it needs from the event and appends actions to the caller's buffer in the
// order in which they have to be carried out. It never clears the buffer.
//
// Memory. Grows with the requests that are open or have an attempt out, and by about 200 bytes for each
// number that the caller has given to an upstream; the retry budget keeps a time for each request of the last
// retryBudgetWindow.
//
// Connections. The caller opens them as needed; CloseIdle asks to close those to an upstream that are not in
// use. Where nothing is known of them (idleTimeout 0) the balancer keeps no home and closes on drains only.
//
// Probes. Probe asks for one ProbeResult, whatever comes of it; a result that never comes is given up.
//
// Not decided on yet. Some settings are part of the interface, but no decision reads them: kinds (checked
// only), hasKeyAffinity and with it key, maxOpen, reportSource, wasteCost, answerSlack, drainGrace,
// fallWindow, quotaPerSecond. The module is stricter than the last ones ask: it answers by the deadline,
// stops sending at once, and keeps slow start over any window.
//
// Misuse. handle() throws std::invalid_argument, and changes nothing, for a class, zone or tenant index
// outside the settings, a request id that is already open, a negative or infinite size (zero: unknown, taken
// as one), an attempt that was never sent, and for any event before the first list. Outcomes and withdrawals
// of requests that are over are legal and are ignored.
#ifndef IVYPOST_BALANCER_H_
#define IVYPOST_BALANCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivypost::balancer {

using Micros = std::int64_t;
using RequestId = std::uint64_t;
// A small number the caller gives to each upstream: 0, 1, 2 ... in the order this sidecar first heard of
// them. It stays with the upstream when its process restarts. One that has left the list, with no attempt,
// probe or open request that refers to it, may pass to an upstream of another identity.
using EndpointId = std::uint32_t;

// ---- Settings -------------------------------------------------------------------------------------------

enum class Semantics {
  Idempotent,  // may run any number of times
  Keyed,       // upstreams of one group drop a repeat for retryWindow after the first send
  Unsafe,      // must never run twice
};
enum class RetryGroup { All, Zone, Cell };

struct RequestClass {
  Micros latencyObjective = 0;  // an answer inside this time earns the full worth
  double objectiveStretch =
      0;  // the latencyObjective grows by this many times the request's own work, up to the deadline
  Micros deadline = 0;  // the client's patience over all its tries
  Semantics semantics = Semantics::Unsafe;
  RetryGroup group = RetryGroup::All;
  Micros retryWindow = 0;
  double lateWeight = 0;
  double weight = 1;
  bool stream = false;
};

struct Tenant {
  double quotaPerSecond = 0;  // over all sidecars; 0 means no quota
  double share = 0;
};

enum class ReportColumn { BusyRequests, Queued, CpuShare, ServiceMillis, ServedPerSecond, FailedPerSecond };
enum class ReportSource { None, Probes, Answers };

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::uint32_t zones = 1;
  std::uint32_t zone = 0;  // this sidecar's own
  std::uint32_t kinds = 1;
  std::uint32_t sidecars = 1;
  std::uint32_t sidecar = 0;   // this one's own number, under `sidecars`; a larger one wraps round
  bool mustSubscribe = false;  // membership changes arrive only after Subscribe or Fetch
  Micros resolution = 1000;    // the shortest gap between two calls with a later `now`

  Micros connectTimeout = 0;
  Micros idleTimeout = 0;  // an idle connection closes by itself after this long; 0: unknown
  std::uint32_t maxStreamsPerConnection = 0;  // attempts that one connection carries at once; 0: unknown
  std::uint32_t maxAttempts = 1;
  std::uint32_t maxOpen = 0;  // requests held open at once; 0 means no limit
  Micros maxRetryAfter = 0;
  bool retryAfter = false;
  bool mayCancel = false;
  bool mayProbe = false;
  bool mayHedge = false;
  bool hasKeyAffinity = false;  // serving a key again soon costs an upstream less
  bool weightByWork = false;
  double overShareWeight = 1;  // worth of traffic beyond a tenant's share, as part of its class's worth
  double crossZoneCost = 0;
  double probeCost = 0;
  double wasteCost = 0;
  ReportSource reportSource = ReportSource::None;
  bool reportsBusyRequests = false;  // reports tell the requests that an upstream has in hand

  Micros answerSlack = 0;
  Micros pollWithin = 0;
  double startCapacity = 1;    // part of its capacity that a cold upstream has at least
  Micros slowStartWindow = 0;  // and it is warm after this long
  Micros drainGrace = 0;
  double fallMultiple = 0;  // 0: a cold upstream cannot be pushed over
  Micros fallWindow = 0;
  // In any span of retryBudgetWindow, attempts beyond each request's first number at most retryBudgetFloor +
  // retryBudgetRatio x the requests taken in it. retryBudgetWindow 0: no such rule; the module then keeps a
  // budget of its own.
  Micros retryBudgetWindow = 0;
  double retryBudgetFloor = 0;
  double retryBudgetRatio = 0;
  Micros closeDrainingWithin =
      0;  // idle connections to a draining upstream are closed within it; 0: no such rule
};

// ---- Events ---------------------------------------------------------------------------------------------

enum class EndpointState { Serving, Draining, Gone };

struct EndpointEntry {
  EndpointId upstream = 0;
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;
  std::optional<std::uint32_t> cell;
  EndpointState state = EndpointState::Serving;
  double size = 1;
  Micros launchedAt = 0;       // 0: long ago
  std::uint64_t identity = 0;  // the same at every sidecar, such as a hash of its address
};

struct MembershipUpdate {
  enum class Kind { Changes, Full, Saved, Failed };
  Kind kind = Kind::Full;
  std::vector<EndpointEntry> entries;  // none for Failed
};

struct NewRequest {
  RequestId request = 0;
  std::uint32_t requestClass = 0;
  std::optional<std::uint32_t> tenant;
  std::optional<std::uint64_t> key;
  Micros expiresIn = 0;
  std::optional<Micros> work;  // expected work, rough
  bool isRetry = false;        // the client says that it repeats itself
};

// Only full, connect failure and moot prove that the attempt never ran.
enum class Outcome { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot };

struct LoadReport {
  std::optional<double> busyRequests, queued, cpuShare, serviceMillis, servedPerSecond, failedPerSecond;
};

struct AttemptOutcome {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EndpointId upstream = 0;
  Outcome outcome = Outcome::Ok;
  Micros latency = 0;        // since it was sent
  bool endsRequest = false;  // the request is over
  std::optional<LoadReport> report;
  // Part of the time since then in which the client's own pace held the transfer up: the upstream is not slow
  // for it.
  Micros clientLimitedTime = 0;
  bool isBodyConsumed = false;  // the request's body is no longer at hand, so it can't be sent again
};

struct AttemptStarted {  // a streamed answer has begun; the attempt is now the client's
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

struct Withdrawn {  // the client left; nothing is owed any more
  RequestId request = 0;
};

struct ProbeResult {
  EndpointId upstream = 0;
  bool ok = false;
  Micros latency = 0;
  std::optional<LoadReport> report;
};

struct TimerDue {};

// Takes away from what the settings allow, until the next such event; the default takes nothing. For a
// sidecar that is itself short of something.
struct ReducedService {
  bool mayHedge = true;      // a second attempt beside one that is out
  double probeFraction = 1;  // the part of the usual probes; 0 to 1, others are brought into range
};

// What the other sidecars that this one hears say of an upstream. It counts for `validFor` and is told anew
// for as long as there is something to say; who never tells it has the module as it is without. It can take
// an upstream out or permit a trial of one that is out, and never lets anything go to one that the rules
// forbid.
struct HealthReport {
  EndpointId upstream = 0;
  Micros launchedAt = 0;  // the life it is said of, as the list has it; of another it counts nothing
  std::uint32_t reachableSidecars = 0;  // that are heard, this one among them
  std::uint32_t unhealthyReports = 0;   // others that find it bad, each by attempts of its own
  bool hasHealthyReport = false;        // one of them was served by it since
  bool ownsNextTrial = true;            // if it is out, its next trial is this sidecar's
  Micros validFor = 0;                  // 0 to 2 s; others are brought into range
};

using Event = std::variant<MembershipUpdate, NewRequest, AttemptStarted, AttemptOutcome, Withdrawn,
                           ProbeResult, TimerDue, ReducedService, HealthReport>;

// ---- Actions --------------------------------------------------------------------------------------------

struct Send {  // the attempts of a request are numbered 0, 1, 2 ... in the order of their Send
  RequestId request = 0;
  EndpointId upstream = 0;
  Micros timeout = 0;  // 0: until the client gives up
};
struct Cancel {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
struct Reject {  // final answer: trying again is harmless
  RequestId request = 0;
  Micros retryAfter = 0;  // 0: no advice
};
struct Fail {  // final answer that promises nothing
  RequestId request = 0;
};
struct SetTimer {
  Micros delay = 0;
};
struct Probe {
  EndpointId upstream = 0;
};
struct CloseIdle {  // close this sidecar's idle connections to the upstream
  EndpointId upstream = 0;
};
struct Subscribe {};
struct Fetch {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, CloseIdle, Subscribe, Fetch, Log>;

// ---- The balancer ---------------------------------------------------------------------------------------

class Balancer {
 public:
  // Throws std::invalid_argument for settings without classes or with this sidecar's zone out of range. Other
  // contradictory or extreme figures are brought into range.
  Balancer(const Settings& settings, std::uint64_t seed, Micros now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  void handle(const Event& event, Micros now, std::vector<Action>& actions);

  // For tests and dashboards; nothing decides by them from outside.
  std::uint32_t inFlight(EndpointId upstream) const;
  bool ready(EndpointId upstream, Micros now) const;
  std::optional<EndpointId> remembered() const;
  std::size_t openRequests() const;
  std::size_t heldRequests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ivypost::balancer

#endif  // IVYPOST_BALANCER_H_
