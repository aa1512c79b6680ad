// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "control/membership_selection.h"

#include <utility>

#include "discovery/platform_source.h"
#include "settings/format_error.h"

namespace ivypost {
namespace {

using Options = configuration::OperatorFile::Membership;

// The etcd options are compared only if etcd is the source.
bool isSameSource(const Options& one, const Options& other) {
  return one.source == other.source && (one.source == Options::Source::Platform || one.etcd == other.etcd);
}

}  // namespace

MembershipSelection::MembershipSelection(boost::asio::io_context& io, const Config& config,
                                         discovery::SourceManager& membership, MakeEtcd makeEtcd,
                                         std::function<void(const std::string&)> log)
    : io_(io),
      config_(config),
      membership_(membership),
      makeEtcd_(std::move(makeEtcd)),
      log_(std::move(log)) {}

void MembershipSelection::select(const Options& wanted, const Endpoint& discovery) {
  const bool isFirst = !membership_.isStarted();
  if (!isFirst && isSameSource(wanted, wanted_)) return;
  if (!isFirst && isSameSource(wanted, current_)) {
    membership_.cancelHandover();
    wanted_ = wanted;
    return log_("membership stays with its source");
  }
  membership_.start(
      [&](discovery::Source::Callbacks callbacks) { return make(wanted, discovery, std::move(callbacks)); });
  wanted_ = wanted;
  if (isFirst) {
    current_ = wanted;
    return;
  }
  const bool usesEtcd = wanted.source == Options::Source::Etcd;
  log_(std::string("membership is to come from ") + (usesEtcd ? "etcd" : "the platform"));
}

std::unique_ptr<discovery::Source> MembershipSelection::make(const Options& wanted, const Endpoint& discovery,
                                                             discovery::Source::Callbacks callbacks) const {
  if (wanted.source == Options::Source::Etcd) {
    if (!makeEtcd_)
      settings::throwFormatError(
          "membership.source: this program is built without etcd, ivypost-etcd is with it:", "etcd");
    return makeEtcd_(io_, wanted.etcd, config_.seed, std::move(callbacks));
  }
  discovery::PlatformSource::Settings settings;
  settings.address = discovery;
  if (!membership_.isStarted() && config_.known) settings.generation = config_.known->generation;
  settings.isPushed = !config_.site.settings.mustSubscribe;
  settings.timeouts = settings.isPushed ? discovery::PlatformSource::kPushedTimeouts
                                        : discovery::PlatformSource::kPolledTimeouts;
  return std::make_unique<discovery::PlatformSource>(io_, settings, std::move(callbacks), log_);
}

void MembershipSelection::onList() {
  if (!membership_.isHandingOver()) current_ = wanted_;
}

}  // namespace ivypost
