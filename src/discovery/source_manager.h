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
  using Make = std::function<std::unique_ptr<Source>(Source::Callbacks)>;

  // `callbacks` hear only of the source that counts. A list of a source that has just taken over is whole.
  // `seed`: of the waits between two tries of one that is to take over and can't.
  SourceManager(boost::asio::io_context& io, std::uint64_t seed, Source::Callbacks callbacks);

  // The first source, which counts from the start, or one that takes over when it has its first whole list;
  // until then the old one goes on. Another one that was about to is dropped. What `make` throws leaves all
  // as it was.
  Source& begin(const Make& make);
  // Drops the one that was about to take over, if any.
  void abandonNext();

  void watch() { current_->watch(); }
  void fetch() { current_->fetch(); }
  void platformMoved(const Endpoint& address);
  Freshness freshness() const { return current_->freshness(); }
  bool started() const { return current_ != nullptr; }
  bool takesOver() const { return next_ != nullptr; }  // one is about to

 private:
  void told(SourceHandover::Number from, EndpointList list);
  void failed(SourceHandover::Number from);
  void dropNext();
  void drop(std::unique_ptr<Source> source);

  boost::asio::io_context& io_;
  Source::Callbacks callbacks_;
  SourceHandover handover_;
  std::unique_ptr<Source> current_, next_;
  boost::asio::steady_timer again_;
  std::mt19937_64 random_;
  util::DecorrelatedJitter wait_;
};

}  // namespace ivypost::discovery

#endif  // IVYPOST_DISCOVERY_SOURCE_MANAGER_H_
