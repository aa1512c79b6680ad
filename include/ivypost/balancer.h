// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The interface of ivypost: settings, events, actions and the Balancer that turns events into actions.
//
// Life cycle. Construct one Balancer for each sidecar process (or simulated instance). The first event must
// be a MembershipUpdate of kind Saved (an empty list is fine); then pass every event in the order in which it
// happened. Destroying the object drops its state; it emits no further actions.
//
// Time. All times and durations are microseconds. `now` must never go backwards; a smaller value is replaced
// by the last one. The balancer reads no clock: it requests a wake-up with SetTimer and receives TimerDue.
//
// Threads. A Balancer is not synchronised: call it from one thread at a time. Separate objects share nothing.
//
// Ownership. handle() copies what it needs from the event and appends actions to the caller's buffer in the
// order in which they have to be executed. It never clears the buffer.
//
// Memory. The balancer's memory grows with the requests that are open or have an attempt in flight, and by
// about 200 bytes for each EndpointId that the caller has assigned; the retry budget keeps the arrival time
// of each request of the last retryBudgetWindow.
//
// Connections. The caller opens them as needed; CloseIdle asks it to close the idle connections to an
// upstream. If the idle time-out is unknown (idleTimeout 0), the balancer keeps no connection subset and
// closes connections only to draining upstreams.
//
// Probes. Each Probe action asks for one ProbeResult, whatever the outcome; a probe without a result times
// out.
//
// Settings without effect. Some settings are part of the interface but are not read by any decision: kinds
// (only validated), hasKeyAffinity (and so NewRequest::key), maxOpen, reportSource, wasteCost, answerSlack,
// drainGrace, fallWindow, quotaPerSecond. Of these, answerSlack, drainGrace and fallWindow would only relax
// rules that the module keeps more strictly: it answers by the deadline, stops sending to a draining upstream
// at once, and limits the load of an upstream in slow start over windows of any length.
//
// Errors. handle() throws std::invalid_argument, and changes nothing, for a class, zone or tenant index
// outside the settings, a request id that is already open, a negative or infinite size (zero: unknown, taken
// as 1), an attempt that was never sent, and for any event before the first list. Outcomes and withdrawals of
// finished requests are legal and ignored.
#ifndef IVYPOST_BALANCER_H_
#define IVYPOST_BALANCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivypost::balancer {

/// A time or duration in microseconds.
using Micros = std::int64_t;
/// Chosen by the caller; unique among the open requests.
using RequestId = std::uint64_t;
/// A small number that the caller assigns to each upstream: 0, 1, 2 ... in the order in which this sidecar
/// first sees them. An upstream keeps it when its process restarts. Once an upstream has left the list and no
/// attempt, probe or open request refers to it, its number may be reused for an upstream of another identity.
using EndpointId = std::uint32_t;

// ---- Settings -------------------------------------------------------------------------------------------

/// Whether a request may run more than once.
enum class Semantics {
  Idempotent,  ///< may run any number of times
  Keyed,       ///< upstreams of one RetryGroup drop a duplicate for retryWindow after the first send
  Unsafe,      ///< must never run twice
};
/// The upstreams among which a duplicate of a Keyed request is recognised: all of them, those of the first
/// attempt's zone, or those of its cell.
enum class RetryGroup { All, Zone, Cell };

/// A class of requests with the same objective and retry rules.
struct RequestClass {
  Micros latencyObjective = 0;  ///< an answer within this time has the full weight
  /// latencyObjective grows by this multiple of the request's expected work, up to the deadline.
  double objectiveStretch = 0;
  Micros deadline = 0;                      ///< total time for which the client waits, its retries included
  Semantics semantics = Semantics::Unsafe;  ///< whether an attempt that may have run may be repeated
  RetryGroup group = RetryGroup::All;       ///< upstreams at which a Keyed request may be retried
  Micros retryWindow = 0;  ///< time after the first attempt within which a Keyed request may be retried
  double lateWeight = 0;   ///< weight of an answer after latencyObjective, as a fraction of `weight`
  double weight = 1;       ///< relative priority when not all requests can be served
  bool stream = false;     ///< answers are streamed
};

/// A tenant, whose requests share a quota.
struct Tenant {
  double quotaPerSecond = 0;  ///< requests, over all sidecars; 0: no quota
  double share = 0;           ///< fraction of the traffic that it is entitled to
};

/// A column of the load reports of upstreams.
enum class ReportColumn { BusyRequests, Queued, CpuShare, ServiceMillis, ServedPerSecond, FailedPerSecond };
/// Which messages of upstreams carry load reports.
enum class ReportSource { None, Probes, Answers };

/// What the balancer knows of its environment; fixed for its lifetime.
struct Settings {
  std::vector<RequestClass> classes;  ///< at least one; requests name them by their index
  std::vector<Tenant> tenants;        ///< requests name them by their index
  std::uint32_t zones = 1;            ///< number of zones
  std::uint32_t zone = 0;             ///< this sidecar's zone
  std::uint32_t kinds = 1;            ///< number of hardware kinds
  std::uint32_t sidecars = 1;         ///< number of sidecars
  std::uint32_t sidecar = 0;   ///< this sidecar's index, below `sidecars`; a larger one is taken modulo it
  bool mustSubscribe = false;  ///< membership changes arrive only after Subscribe or Fetch
  Micros resolution = 1000;    ///< granularity of `now`: it stays equal or grows by at least this

  Micros connectTimeout = 0;                  ///< time-out for opening a connection
  Micros idleTimeout = 0;                     ///< idle time after which a connection is closed; 0: unknown
  std::uint32_t maxStreamsPerConnection = 0;  ///< concurrent attempts on one connection; 0: unknown
  std::uint32_t maxAttempts = 1;              ///< maximum number of attempts for each request
  std::uint32_t maxOpen = 0;                  ///< open requests; 0: no limit
  Micros maxRetryAfter = 0;                   ///< upper bound of Reject::retryAfter
  bool retryAfter = false;                    ///< whether Reject may carry a retryAfter
  bool mayCancel = false;                     ///< whether Cancel is permitted
  bool mayProbe = false;                      ///< whether Probe is permitted
  bool mayHedge = false;                      ///< whether hedged requests are permitted
  bool hasKeyAffinity = false;  ///< an upstream serves a key at lower cost soon after serving it before
  bool weightByWork = false;    ///< RequestClass::weight is for a unit of work, not for a request
  double overShareWeight = 1;   ///< weight of traffic beyond a tenant's share, as a fraction of its class's
  double crossZoneCost = 0;     ///< cost of an attempt in another zone; above 0: prefer the own zone
  double probeCost = 0;         ///< cost of one probe, as a fraction of a request's weight
  double wasteCost = 0;         ///< cost of wasted work
  ReportSource reportSource = ReportSource::None;  ///< what carries load reports
  bool reportsBusyRequests = false;                ///< load reports have the column BusyRequests

  Micros answerSlack = 0;      ///< time after the deadline within which the final answer is still accepted
  Micros pollWithin = 0;       ///< upper bound of the delay of discovery's first poll and of retries
  double startCapacity = 1;    ///< lower bound of an upstream's capacity at launch, as a fraction
  Micros slowStartWindow = 0;  ///< time from its launch until an upstream has its full capacity
  Micros drainGrace = 0;       ///< time for which requests may still be sent to a draining upstream
  /// An upstream in slow start collapses at a load of this multiple of its capacity; 0: it can't collapse.
  double fallMultiple = 0;
  Micros fallWindow = 0;  ///< the window over which that load is measured
  /// In any window of this length, the number of retries (attempts other than a request's first) is at most
  /// retryBudgetFloor + retryBudgetRatio x the requests that arrived in the window. 0: no such rule; the
  /// balancer then applies a default budget.
  Micros retryBudgetWindow = 0;
  double retryBudgetFloor = 0;  ///< retries allowed in a window without any request
  double retryBudgetRatio = 0;  ///< retries allowed for each request
  /// Idle connections to a draining upstream are closed within this time; 0: no such rule.
  Micros closeDrainingWithin = 0;
};

// ---- Events ---------------------------------------------------------------------------------------------

/// The state of an upstream in the endpoint list. Requests are sent only to serving upstreams.
enum class EndpointState { Serving, Draining, Gone };

/// An upstream as the endpoint list has it.
struct EndpointEntry {
  EndpointId upstream = 0;                       ///< assigned by the caller
  std::uint32_t zone = 0;                        ///< below Settings::zones
  std::uint32_t kind = 0;                        ///< below Settings::kinds
  std::optional<std::uint32_t> cell;             ///< none: the upstream is a cell by itself
  EndpointState state = EndpointState::Serving;  ///< as listed
  double size = 1;                               ///< relative capacity; 0: unknown, taken as 1
  Micros launchedAt = 0;                         ///< when its process started; 0: long ago
  std::uint64_t identity = 0;                    ///< equal at every sidecar, such as a hash of its address
};

/// A list of upstreams, changes of the list, or a failed call of discovery.
struct MembershipUpdate {
  /// Changes updates the entries it has; Full replaces the list; Saved is a list stored earlier, which may be
  /// stale; Failed is a failed Subscribe or Fetch.
  enum class Kind { Changes, Full, Saved, Failed };
  Kind kind = Kind::Full;              ///< how `entries` change the list
  std::vector<EndpointEntry> entries;  ///< empty for Failed
};

/// A client's request has arrived.
struct NewRequest {
  RequestId request = 0;                ///< not open yet
  std::uint32_t requestClass = 0;       ///< index into Settings::classes
  std::optional<std::uint32_t> tenant;  ///< index into Settings::tenants; none: unknown
  std::optional<std::uint64_t> key;     ///< identifies the data that the request concerns, for key affinity
  Micros expiresIn = 0;                 ///< time until its deadline
  std::optional<Micros> work;           ///< rough estimate of its service time
  bool isRetry = false;                 ///< the client marks it as a repetition of an earlier request
};

/// The outcome of an attempt: Full is a rejection by the upstream, Moot an attempt that the caller dropped
/// before sending it. Only Full, ConnectFailed and Moot prove that the attempt never ran.
enum class Outcome { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot };

/// The load of an upstream as it reports it; columns that it does not report are empty.
struct LoadReport {
  std::optional<double> busyRequests, queued, cpuShare, serviceMillis, servedPerSecond, failedPerSecond;
};

/// An attempt has ended.
struct AttemptOutcome {
  RequestId request = 0;             ///< as in its Send
  std::uint32_t attempt = 0;         ///< index in the order of the request's Sends
  EndpointId upstream = 0;           ///< as in its Send
  Outcome outcome = Outcome::Ok;     ///< how it ended
  Micros latency = 0;                ///< time since the Send; for information, not read by any decision
  bool endsRequest = false;          ///< the request has its final answer
  std::optional<LoadReport> report;  ///< if the answer carried one
  /// The part of the time since the Send in which the transfer waited for the client; it is not counted
  /// towards the upstream's latency.
  Micros clientLimitedTime = 0;
  bool isBodyConsumed = false;  ///< the request's body is no longer available, so it can't be sent again
};

/// A streamed answer has begun: it is being passed on to the client, so no other attempt can replace it.
struct AttemptStarted {
  RequestId request = 0;      ///< as in its Send
  std::uint32_t attempt = 0;  ///< the one whose answer is streamed
};

/// The client has disconnected; the request needs no answer any more.
struct Withdrawn {
  RequestId request = 0;  ///< may be finished already
};

/// The result of a Probe.
struct ProbeResult {
  EndpointId upstream = 0;           ///< as in the Probe
  bool ok = false;                   ///< the upstream answered and is healthy
  Micros latency = 0;                ///< time since the Probe
  std::optional<LoadReport> report;  ///< if the answer carried one
};

/// The time of the last SetTimer has come.
struct TimerDue {};

/// Restricts what the settings permit, until the next ReducedService; the default restricts nothing. For a
/// sidecar that is itself short of resources.
struct ReducedService {
  bool mayHedge = true;      ///< false: no hedged requests
  double probeFraction = 1;  ///< fraction of the usual probes, 0 to 1; other values are brought into range
};

/// What the other sidecars that this one can reach report of an upstream. The event is valid for `validFor`;
/// the caller repeats it for as long as there are such reports. Without these events the balancer decides by
/// its own attempts alone. A report can eject an upstream or permit a trial attempt at an ejected one; it
/// never permits an attempt that the rules on retries, drains and slow start forbid.
struct HealthReport {
  EndpointId upstream = 0;  ///< the event is ignored if no list has contained this upstream
  Micros launchedAt = 0;    ///< launch time of the reported incarnation; it must be the listed one
  std::uint32_t reachableSidecars = 0;  ///< number of sidecars that this one can reach, itself included
  std::uint32_t unhealthyReports = 0;   ///< number of other sidecars that report it unhealthy
  bool hasHealthyReport = false;        ///< another sidecar reports a success after all of these failures
  bool ownsNextTrial = true;            ///< if it is ejected, this sidecar makes the next trial attempt
  Micros validFor = 0;                  ///< 0 to 2 s; other values are brought into range
};

/// Everything that the balancer reacts to.
using Event = std::variant<MembershipUpdate, NewRequest, AttemptStarted, AttemptOutcome, Withdrawn,
                           ProbeResult, TimerDue, ReducedService, HealthReport>;

// ---- Actions --------------------------------------------------------------------------------------------

/// Send an attempt of the request. The attempts of a request are numbered 0, 1, 2 ... in the order of their
/// Send.
struct Send {
  RequestId request = 0;    ///< an open one
  EndpointId upstream = 0;  ///< a serving one
  Micros timeout = 0;       ///< 0: until the request's deadline
};
/// Cancel an attempt in flight.
struct Cancel {
  RequestId request = 0;      ///< may be finished already
  std::uint32_t attempt = 0;  ///< index in the order of the request's Sends
};
/// Final answer: the request did not run, or may safely run again, so the client may retry it.
struct Reject {
  RequestId request = 0;  ///< finished by it
  Micros retryAfter = 0;  ///< when the client should retry; 0: no advice
};
/// Final answer: the request failed and may have run.
struct Fail {
  RequestId request = 0;  ///< finished by it
};
/// Pass TimerDue after the delay. This timer replaces the one that was set before.
struct SetTimer {
  Micros delay = 0;  ///< above 0
};
/// Probe the upstream and pass the outcome as a ProbeResult event.
struct Probe {
  EndpointId upstream = 0;  ///< a serving one
};
/// Close this sidecar's idle connections to the upstream.
struct CloseIdle {
  EndpointId upstream = 0;  ///< in any state
};
/// Subscribe to changes of the endpoint list.
struct Subscribe {};
/// Fetch the endpoint list once.
struct Fetch {};
/// Write a line to the log.
struct Log {
  std::string text;  ///< without a line break
};

/// Everything that the balancer asks of the caller.
using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, CloseIdle, Subscribe, Fetch, Log>;

// ---- The balancer ---------------------------------------------------------------------------------------

/// Decides for one sidecar which upstream each request goes to, and when it is held, retried or rejected.
class Balancer {
 public:
  /// The same settings, seed and events give the same actions. Inconsistent or extreme values of the settings
  /// are brought into range.
  /// @throws std::invalid_argument for settings without classes or with this sidecar's zone out of range
  Balancer(const Settings& settings, std::uint64_t seed, Micros now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Handles one event and appends the resulting actions to `actions`.
  /// @throws std::invalid_argument for an event that breaks the contract above; the state is unchanged then
  void handle(const Event& event, Micros now, std::vector<Action>& actions);

  // For tests and dashboards; callers must not base decisions on these figures.

  /// This sidecar's attempts in flight at the upstream; 0 for an unknown one.
  std::uint32_t inFlight(EndpointId upstream) const;
  /// Whether the upstream may get an attempt at `now`; false for an unknown one.
  bool ready(EndpointId upstream, Micros now) const;
  /// The upstream with which the next randomly drawn one is compared, if there is one.
  std::optional<EndpointId> remembered() const;
  /// Requests without a final answer.
  std::size_t openRequests() const;
  /// Requests that are held because no upstream is ready for them.
  std::size_t heldRequests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ivypost::balancer

#endif  // IVYPOST_BALANCER_H_
