// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_SOURCE_H_
#define IVYPOST_DISCOVERY_SOURCE_H_

#include <functional>
#include <string>

#include "discovery/endpoint_list.h"

namespace ivypost::discovery {

/// Writes one line, given without a line end, to the log.
using Log = std::function<void(const std::string&)>;

/// How current the list of a source is at a point in time.
struct Freshness {
  /// Upper bound of the time for which the list may have been out of date; 0 before the first list.
  Duration age{};
  /// Whether the source is connected, and nothing that it has received contradicts the list.
  bool isConfirmed = false;
};

/// A source of endpoint lists. All calls and callbacks are made on the event loop's thread.
///
/// Invariant: the last list stays in use when a source fails. No source removes an endpoint because a call
/// failed. The age of a list is measured by the process's monotonic clock; while a source receives nothing,
/// the age that it reports grows, and it reports no change.
class Source {
 public:
  /// Receivers of a source's notifications. The source must not be destroyed during a callback.
  struct Callbacks {
    /// A complete list, or the changes since the last list. The first list is always complete.
    std::function<void(EndpointList)> onList;
    /// A call that watch() or fetch() requested has failed. Called at most once for each request.
    std::function<void()> onFailure;
  };

  Source() = default;
  Source(const Source&) = delete;
  Source& operator=(const Source&) = delete;
  Source(Source&&) = delete;
  Source& operator=(Source&&) = delete;
  virtual ~Source() = default;

  /// Starts to watch the list; no effect if the watch has been started.
  virtual void watch() = 0;
  /// Requests the complete list once.
  virtual void fetch() = 0;
  /// How current the list is now.
  [[nodiscard]] virtual Freshness freshness() const = 0;
  /// Notifies the source that the platform's file now names this address of the platform's discovery. No
  /// effect on a source that does not use the address.
  virtual void setPlatformAddress(const Endpoint& /*address*/) {}
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_H_
