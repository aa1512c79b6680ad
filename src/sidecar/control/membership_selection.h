// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Selects the source of endpoint lists by the operator's file.
#ifndef IVYPOST_CONTROL_MEMBERSHIP_SELECTION_H_
#define IVYPOST_CONTROL_MEMBERSHIP_SELECTION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config.h"
#include "configuration/operator_file.h"
#include "discovery/source.h"
#include "discovery/source_manager.h"

namespace ivypost {

/// Creates the endpoint source that the operator's file selects and passes it to the
/// discovery::SourceManager, which switches over at the first complete list of the new source. Not
/// thread-safe: all calls are made on the event loop.
class MembershipSelection {
 public:
  /// Creates the source that watches etcd; empty if this program is built without etcd. Throws
  /// settings::FormatError, with a message of one line, for unusable options.
  using MakeEtcd = std::function<std::unique_ptr<discovery::Source>(
      boost::asio::io_context&, const discovery::etcd::Options&, std::uint64_t seed,
      discovery::Source::Callbacks)>;

  /// `io`, `config` and `membership` must outlive this object. `log` takes one line.
  MembershipSelection(boost::asio::io_context& io, const Config& config, discovery::SourceManager& membership,
                      MakeEtcd makeEtcd, std::function<void(const std::string&)> log);

  /// Starts with the source `wanted`, or begins the handover to it. Does nothing if it is selected already;
  /// if it is the present source and a handover to another one is in progress, cancels the handover.
  ///
  /// Throws settings::FormatError if the source can't be created, and then nothing has changed. `discovery`:
  /// address of the platform's discovery.
  void select(const configuration::OperatorFile::Membership& wanted, const Endpoint& discovery);
  /// To be called when the membership has delivered a list, which may have completed a handover.
  void onList();
  /// Whether the source in use is etcd; otherwise it is the platform.
  [[nodiscard]] bool isEtcd() const {
    return current_.source == configuration::OperatorFile::Membership::Source::Etcd;
  }

 private:
  [[nodiscard]] std::unique_ptr<discovery::Source> make(const configuration::OperatorFile::Membership& wanted,
                                                        const Endpoint& discovery,
                                                        discovery::Source::Callbacks callbacks) const;

  boost::asio::io_context& io_;
  const Config& config_;
  discovery::SourceManager& membership_;
  MakeEtcd makeEtcd_;
  std::function<void(const std::string&)> log_;
  configuration::OperatorFile::Membership current_;  // of the source in use
  configuration::OperatorFile::Membership wanted_;   // of the source that was selected last
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_MEMBERSHIP_SELECTION_H_
