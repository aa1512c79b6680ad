// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A stand-in of an etcd cluster: one store, and members that serve it over gRPC on loopback, each with the
// ways in which a member or the network before it fails. Written from the published API.
//
// Everything runs on one thread of the cluster's own; the public functions hand over to it and wait, so that
// they may be called from any other.
#ifndef IVYPOST_STANDINS_ETCD_CLUSTER_H_
#define IVYPOST_STANDINS_ETCD_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivypost::standins::etcd {

class Cluster {
 public:
  struct Settings {
    std::size_t members = 1;
    std::vector<std::uint16_t> ports;  // of the members; 0 or missing: one that the system chooses
    std::string user, password;        // empty: no authentication
    std::string certificate, key, ca;  // PEM texts; with them it serves TLS, and wants a client's with `ca`
    std::size_t fragmentEvents = 0;    // events of one response where fragments are asked for; 0: all
  };
  // Throws std::runtime_error if a member can't listen.
  explicit Cluster(Settings settings);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  std::uint16_t port(std::size_t member) const;

  // ---- Its content; each returns the revision after it ----
  std::int64_t put(const std::string& key, const std::string& value);
  std::int64_t remove(const std::string& key);
  // One transaction: deletes first, then puts.
  std::int64_t replace(const std::vector<std::string>& gone,
                       const std::vector<std::pair<std::string, std::string>>& put);
  std::int64_t revision();
  std::size_t keys(const std::string& prefix);

  // ---- How it fails ----
  void compact();                 // up to the latest revision
  void backup();                  // keeps a copy of the store ...
  void restore(bool newCluster);  // ... and goes back to it, under the same cluster id or another
  void expireTokens();            // none is taken any longer, and open watches are canceled
  // A member's. They hold until they are taken back.
  void dropStreams(std::size_t member);        // ends all watch streams, once
  void cutFragment(std::size_t member);        // ends streams behind the next fragment that is not the last
  void stall(std::size_t member, bool on);     // takes everything and says nothing; connections stay open
  void withhold(std::size_t member, bool on);  // watches bring no events, but progress and calls are answered
  void lag(std::size_t member, bool on);       // knows nothing newer; reads that want it fail
  void loseLeader(std::size_t member, bool on);
  void refuse(std::size_t member, bool on);            // every call is unavailable
  void slow(std::size_t member, std::int64_t micros);  // each answer comes so much later
  void repeatEvents(std::size_t member, bool on);      // each response with events is sent twice
  void progressAhead(std::size_t member, bool on);     // a progress response before each one with events
  // An event that the store has not, to all watches of the member.
  void inject(std::size_t member, const std::string& key, const std::string& value);

  struct Counts {
    std::uint64_t ranges = 0, watches = 0, progress = 0, authentications = 0, openStreams = 0;
    std::uint64_t calls() const { return ranges + watches + authentications; }
  };
  Counts counts();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ivypost::standins::etcd

#endif  // IVYPOST_STANDINS_ETCD_CLUSTER_H_
