// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Leases: granted for a time, kept alive or not, with the keys that end with them. No I/O and no clock.
#ifndef IVYPOST_STANDINS_ETCD_LEASES_H_
#define IVYPOST_STANDINS_ETCD_LEASES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivypost::standins::etcd {

class Leases {
 public:
  using Micros = std::int64_t;

  // The id that was granted: the one wanted, or one of its own for 0. None: it is taken, or the TTL (seconds)
  // is not over 0.
  std::optional<std::int64_t> grant(std::int64_t wanted, std::int64_t ttl, Micros now);
  // The TTL from now on, in seconds; 0: there is no such lease.
  std::int64_t keepAlive(std::int64_t id, Micros now);
  // Its keys; none: there is no such lease.
  std::optional<std::vector<std::string>> revoke(std::int64_t id);

  bool has(std::int64_t id) const { return leases_.count(id) > 0; }
  // The key belongs to this lease from now on; 0: to none.
  void attach(const std::string& key, std::int64_t id);

  struct Ended {
    std::int64_t id = 0;
    std::vector<std::string> keys;
  };
  std::vector<Ended> expire(Micros now);
  std::optional<Micros> nextEnd() const;

 private:
  struct Lease {
    std::int64_t ttl = 0;
    Micros until = 0;
    std::set<std::string> keys;
  };
  std::map<std::int64_t, Lease> leases_;
  std::map<std::string, std::int64_t> holders_;  // of keys
  std::int64_t last_ = 7'000'000;                // ids of its own
};

}  // namespace ivypost::standins::etcd

#endif  // IVYPOST_STANDINS_ETCD_LEASES_H_
