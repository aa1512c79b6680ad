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

/// The source of endpoint lists for the rest of the sidecar. Owns the active source and, during a handover,
/// the pending source. SourceHandover decides which of them is in use.
class SourceManager {
 public:
  /// Creates a source with these callbacks. May throw.
  using Factory = std::function<std::unique_ptr<Source>(Source::Callbacks)>;

  /// `callbacks` are called for the active source only; the first list after a handover is complete. `seed`
  /// seeds the retry backoff of a pending source. `io` must outlive this object.
  SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks);

  /// Creates a source and returns it; this object owns it. The first source is active immediately and is
  /// not watched yet. A later source is watched at once, is pending until its first complete list, and then
  /// replaces the active source; an earlier pending source is dropped. An exception of `make` is passed on
  /// and leaves the state unchanged.
  Source& start(const Factory& make);
  /// Drops the pending source, if any.
  void cancelHandover();

  // The four functions below require that start() has been called.
  /// Calls Source::watch() of the active source.
  void watch() { active_->watch(); }
  /// Calls Source::fetch() of the active source.
  void fetch() { active_->fetch(); }
  /// Calls Source::setPlatformAddress() of the active and of the pending source.
  void setPlatformAddress(const Endpoint& address);
  /// Returns Source::freshness() of the active source.
  [[nodiscard]] Freshness freshness() const { return active_->freshness(); }

  /// Whether the first source has been started.
  [[nodiscard]] bool isStarted() const { return active_ != nullptr; }
  /// Whether a source is pending.
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
