// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_SOURCE_H_
#define IVYPOST_DISCOVERY_SOURCE_H_

#include <functional>
#include <string>

#include "discovery/endpoint_list.h"

namespace ivypost::discovery {

/// Takes one line for the log, without its end.
using Log = std::function<void(const std::string&)>;

/// What a source can say of its list at a moment.
struct Freshness {
  /// How long the list may have been out of date by now; 0 until the first one has come.
  Duration age{};
  /// The source is in touch, and nothing that it has received contradicts the list.
  bool isConfirmed = false;
};

/// Where endpoint lists come from. All calls and callbacks are the event loop's.
///
/// Invariant: whatever the source, the last list stays when it fails. No source takes an endpoint away
/// because a call came to nothing. How old a list is counts by this process's monotonic clock; a source that
/// receives nothing reports a growing age, and no change.
class Source {
 public:
  /// Whom a source notifies. The source must not be destroyed within one of these calls.
  struct Callbacks {
    /// A complete list, or what has changed since the last one. The first is always complete.
    std::function<void(EndpointList)> onList;
    /// A call that was asked for by watch() or fetch() came to nothing. At most once for each.
    std::function<void()> onFailure;
  };

  Source() = default;
  Source(const Source&) = delete;
  Source& operator=(const Source&) = delete;
  Source(Source&&) = delete;
  Source& operator=(Source&&) = delete;
  virtual ~Source() = default;

  /// Begins to watch the list; nothing if it does already.
  virtual void watch() = 0;
  /// Asks for the complete list once.
  virtual void fetch() = 0;
  /// How current the list is now.
  [[nodiscard]] virtual Freshness freshness() const = 0;
  /// The platform's file names this address of its discovery from now on. Nothing for a source that does not
  /// use it.
  virtual void setPlatformAddress(const Endpoint& /*address*/) {}
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_H_
