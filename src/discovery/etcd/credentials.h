// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_DISCOVERY_ETCD_CREDENTIALS_H_
#define IVYPOST_DISCOVERY_ETCD_CREDENTIALS_H_

#include <string>

#include "discovery/etcd/options.h"

namespace ivypost::discovery::etcd {

/// The contents of the files that Options names; a member is empty if Options names no file for it.
struct Credentials {
  std::string ca;           ///< PEM
  std::string certificate;  ///< PEM
  std::string key;          ///< PEM
  std::string password;     ///< without trailing line ends

  /// Equal if all members are equal.
  bool operator==(const Credentials&) const = default;
};

/// Reads the files. Throws settings::FormatError, with a one-line message, for a file that can't be read or
/// is empty.
[[nodiscard]] Credentials readCredentials(const Options& options);

}  // namespace ivypost::discovery::etcd

#endif  // IVYPOST_DISCOVERY_ETCD_CREDENTIALS_H_
