// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
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
#include "util/backoff.h"

namespace ivypost::discovery {

/// The source of endpoint lists as the rest of the sidecar sees it: one that is active, and perhaps one that
/// is to take over from it. Owns both. What is decided is SourceHandover's.
class SourceManager {
 public:
  /// Makes a source that calls back with these. May throw.
  using Factory = std::function<std::unique_ptr<Source>(Source::Callbacks)>;

  /// `callbacks` are called for the active source only; the list of a source that has just taken over is
  /// complete. `seed`: of the backoff of one that is to take over and fails. `io` must outlive this object.
  SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks);

  /// Makes the first source, which is active at once and is not watched yet, or one that takes over when it
  /// has its first complete list; until then the active one goes on. Another one that was to is dropped. What
  /// `make` throws is passed on and leaves all as it was. The result is owned here.
  Source& start(const Factory& make);
  /// Drops the source that was to take over, if any.
  void cancelHandover();

  // The four below need a first source.
  /// Source::watch() of the active one.
  void watch() { active_->watch(); }
  /// Source::fetch() of the active one.
  void fetch() { active_->fetch(); }
  /// Source::setPlatformAddress() of both.
  void setPlatformAddress(const Endpoint& address);
  /// Source::freshness() of the active one.
  [[nodiscard]] Freshness freshness() const { return active_->freshness(); }

  /// Whether there is a first source.
  [[nodiscard]] bool isStarted() const { return active_ != nullptr; }
  /// Whether a source is to take over.
  [[nodiscard]] bool isHandingOver() const { return pending_ != nullptr; }

 private:
  void onList(SourceId source, EndpointList list);
  void onFailure(SourceId source);
  void retryPending();
  void dropPending();
  void destroyLater(std::unique_ptr<Source> source);

  boost::asio::io_context& io_;
  Source::Callbacks callbacks_;
  SourceHandover handover_;
  std::unique_ptr<Source> active_;
  std::unique_ptr<Source> pending_;
  boost::asio::steady_timer retryTimer_;
  std::mt19937_64 random_;
  util::DecorrelatedJitter backoff_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_MANAGER_H_
