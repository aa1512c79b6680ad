// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The membership as the rest of the sidecar sees it: one source that counts, and perhaps one that is about to
// take over from it.
#ifndef IVYPOST_DISCOVERY_SOURCE_MANAGER_H_
#define IVYPOST_DISCOVERY_SOURCE_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>

#include "discovery/source.h"
#include "discovery/source_handover.h"
#include "util/bounded_math.h"

namespace ivypost::discovery {

class SourceManager {
 public:
  using Factory = std::function<std::unique_ptr<Source>(Source::Callbacks)>;

  // `callbacks` hear only of the source that counts. A list of a source that has just taken over is whole.
  // `seed`: of the waits between two tries of one that is to take over and can't.
  SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks);

  // The first source, which counts from the start, or one that takes over when it has its first whole list;
  // until then the old one goes on. Another one that was about to is dropped. What `make` throws leaves all
  // as it was.
  Source& start(const Factory& make);
  // Drops the one that was about to take over, if any.
  void cancelHandover();

  void watch() { active_->watch(); }
  void fetch() { active_->fetch(); }
  void setPlatformAddress(const Endpoint& address);
  Freshness freshness() const { return active_->freshness(); }
  bool isStarted() const { return active_ != nullptr; }
  bool isHandingOver() const { return pending_ != nullptr; }  // one is about to

 private:
  void onList(SourceHandover::SourceId from, EndpointList list);
  void onFailure(SourceHandover::SourceId from);
  void dropPending();
  void destroyLater(std::unique_ptr<Source> source);

  boost::asio::io_context& io_;
  Source::Callbacks callbacks_;
  SourceHandover handover_;
  std::unique_ptr<Source> active_, pending_;
  boost::asio::steady_timer retryTimer_;
  std::mt19937_64 random_;
  util::DecorrelatedJitter backoff_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_MANAGER_H_
