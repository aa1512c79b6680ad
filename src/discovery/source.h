// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Where the list of upstreams comes from. Whatever the source, the last list stays when it fails: no source
// takes an upstream away because a call came to nothing.
#ifndef IVYPOST_DISCOVERY_SOURCE_H_
#define IVYPOST_DISCOVERY_SOURCE_H_

#include <cstdint>
#include <functional>

#include "discovery/endpoint_list.h"

namespace ivypost::discovery {

using Micros = balancer::Micros;

// What a source can say of its list at a moment.
struct Freshness {
  Micros age = 0;  // how long the list may have been out of date by now; 0 until the first one has come
  bool isConfirmed = false;  // the source is in touch, and nothing it has heard contradicts the list
};

class Source {
 public:
  struct Callbacks {
    // A whole list, or what has changed since the last one. The first is always whole.
    std::function<void(EndpointList)> onList;
    // A call that was asked for by watch() or fetch() came to nothing. At most once for each.
    std::function<void()> onFailure;
  };

  Source() = default;
  Source(const Source&) = delete;
  Source& operator=(const Source&) = delete;
  virtual ~Source() = default;

  virtual void watch() = 0;  // begins to follow; nothing if it does already
  virtual void fetch() = 0;  // asks for the whole list once
  virtual Freshness freshness() const = 0;
  // The platform's file names another address of discovery. Nothing for a source that does not use it.
  virtual void setPlatformAddress(const Endpoint& /*address*/) {}
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_H_
