// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// Which source endpoint lists come from, as the operator's file has it.
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

/// Makes the sources that the operator chooses, and hands them to the membership, which changes over with the
/// first complete list of the new one. Not thread-safe: all calls are made on the loop.
class MembershipSelection {
 public:
  /// Makes the source that watches etcd; empty where this program is built without it. Throws
  /// settings::FormatError, one line, for options that can't be used.
  using MakeEtcd = std::function<std::unique_ptr<discovery::Source>(
      boost::asio::io_context&, const discovery::etcd::Options&, std::uint64_t seed,
      discovery::Source::Callbacks)>;

  /// `io`, `config` and `membership` must outlive this object. `log` takes one line.
  MembershipSelection(boost::asio::io_context& io, const Config& config, discovery::SourceManager& membership,
                      MakeEtcd makeEtcd, std::function<void(const std::string&)> log);

  /// Begins with this source, or changes to it. The same source as before stays, and one that was about to
  /// take over is dropped if the operator wants the present one back.
  ///
  /// Throws settings::FormatError where the source can't be made, and then nothing has changed. `discovery`:
  /// where the platform's is.
  void select(const configuration::OperatorFile::Membership& wanted, const Endpoint& discovery);
  /// A list has come by the membership.
  void onList();
  /// Whether the source that counts is etcd; else it is the platform.
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
  configuration::OperatorFile::Membership current_;  // of the source that counts
  configuration::OperatorFile::Membership wanted_;   // of it, or of the one that is to take over
};

}  // namespace ivypost

#endif  // IVYPOST_CONTROL_MEMBERSHIP_SELECTION_H_
