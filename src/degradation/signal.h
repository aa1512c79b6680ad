// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DEGRADATION_SIGNAL_H_
#define IVYPOST_DEGRADATION_SIGNAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ivypost::degradation {

/// The inputs of the level decision. The value of each is a non-negative number in the unit that unitOf()
/// returns.
enum class Signal : std::uint8_t {
  CpuUtilization,          ///< CPU time used, divided by the CPU time available to the sidecar.
  EventLoopLag,            ///< Delay from when a timer was due until its handler ran.
  OpenRequestFraction,     ///< Open requests divided by their limit.
  BusyConnectionFraction,  ///< Busy connections divided by their limit; the greater of clients and upstreams.
  FailedAttemptFraction,   ///< Fraction of recent attempts that timed out, failed or were rejected.
  OverQuotaFraction,       ///< Fraction of recent requests whose tenant is over its quota.
  RetryFraction,           ///< Fraction of recent requests that their client marked as retries.
  EndpointListAge,         ///< Time since the endpoint list was last known to be current.
};

/// All signals, in the order of their enumerators.
inline constexpr std::array kSignals = {Signal::CpuUtilization,        Signal::EventLoopLag,
                                        Signal::OpenRequestFraction,   Signal::BusyConnectionFraction,
                                        Signal::FailedAttemptFraction, Signal::OverQuotaFraction,
                                        Signal::RetryFraction,         Signal::EndpointListAge};
/// The number of signals, as the size of tables indexed by indexOf().
inline constexpr std::size_t kSignalCount = kSignals.size();

/// The signal's position in kSignals.
[[nodiscard]] constexpr std::size_t indexOf(Signal signal) {
  return static_cast<std::size_t>(signal);
}

/// The signal's name in `GET /status/level` and in the log, and, with underscores for spaces, in the
/// operator's file. The names are part of these interfaces and must not change.
[[nodiscard]] std::string_view nameOf(Signal signal);

/// The unit of a signal's value and of its thresholds.
enum class Unit : std::uint8_t {
  Fraction,      ///< Usually 0 to 1; more if a limit is exceeded.
  Microseconds,  ///< 0 or more.
};
/// The unit of the signal's samples, smoothed value and thresholds: Microseconds for EventLoopLag and
/// EndpointListAge, Fraction for all others.
[[nodiscard]] Unit unitOf(Signal signal);

/// One value for each signal.
template <class Value>
class PerSignal {
 public:
  /// The signal's value. Throws std::out_of_range if `signal` is not an enumerator.
  [[nodiscard]] Value& operator[](Signal signal) { return values_.at(indexOf(signal)); }
  /// As above, for reading.
  [[nodiscard]] const Value& operator[](Signal signal) const { return values_.at(indexOf(signal)); }
  /// Sets the values of all signals to `value`.
  void fill(const Value& value) { values_.fill(value); }

 private:
  std::array<Value, kSignalCount> values_{};
};

}  // namespace ivypost::degradation

#endif  // IVYPOST_DEGRADATION_SIGNAL_H_
