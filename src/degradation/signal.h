// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_SIGNAL_H_
#define IVYPOST_DEGRADATION_SIGNAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ivypost::degradation {

/// What the level is decided by: one non-negative number each, in the unit that unitOf() gives.
enum class Signal : std::uint8_t {
  CpuUtilization,          ///< Processor time used, of what the sidecar may use.
  EventLoopLag,            ///< Time from when a timer was due to when its handler ran.
  OpenRequestFraction,     ///< Open requests, of the most that may be open.
  BusyConnectionFraction,  ///< Connections at work, of the limit; the fuller of the clients' and upstreams'
                           ///< side.
  FailedAttemptFraction,   ///< Attempts that timed out, failed or were rejected, of all recent ones.
  OverQuotaFraction,       ///< Requests of tenants over their quota, of all recent ones.
  RetryFraction,           ///< Requests that their client marked as retries, of all recent ones.
  EndpointListAge,         ///< Time since the endpoint list was last known to be right.
};

/// All signals, in the order of their enumerators.
inline constexpr std::array kSignals = {Signal::CpuUtilization,        Signal::EventLoopLag,
                                        Signal::OpenRequestFraction,   Signal::BusyConnectionFraction,
                                        Signal::FailedAttemptFraction, Signal::OverQuotaFraction,
                                        Signal::RetryFraction,         Signal::EndpointListAge};
/// The number of signals, for tables that indexOf() indexes.
inline constexpr std::size_t kSignalCount = kSignals.size();

/// The signal's position in kSignals.
[[nodiscard]] constexpr std::size_t indexOf(Signal signal) {
  return static_cast<std::size_t>(signal);
}

/// The signal as `GET /status/level` and the log name it, and, with underscores for spaces, the operator's
/// file. Part of those interfaces.
[[nodiscard]] std::string_view nameOf(Signal signal);

/// The unit of a signal's value and of its thresholds.
enum class Unit : std::uint8_t {
  Fraction,      ///< Of a whole: 0 to 1, more where the whole is exceeded.
  Microseconds,  ///< 0 or more.
};
/// The unit of the signal's samples, smoothed value and thresholds: EventLoopLag and EndpointListAge are
/// times, all others fractions.
[[nodiscard]] Unit unitOf(Signal signal);

/// One value for each signal.
template <class Value>
class PerSignal {
 public:
  /// The signal's value; std::out_of_range for what is no enumerator.
  [[nodiscard]] Value& operator[](Signal signal) { return values_.at(indexOf(signal)); }
  /// The same for values that are only read.
  [[nodiscard]] const Value& operator[](Signal signal) const { return values_.at(indexOf(signal)); }
  /// The same value for all of them.
  void fill(const Value& value) { values_.fill(value); }

 private:
  std::array<Value, kSignalCount> values_{};
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_SIGNAL_H_
