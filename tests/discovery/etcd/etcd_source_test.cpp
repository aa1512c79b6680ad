// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// EtcdSource over gRPC against a fake cluster on loopback. Covers what needs real connections: tokens,
// certificates, members that hang or refuse calls, and destruction during calls.
#include "discovery/etcd/etcd_source.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "discovery/etcd/certificates.h"
#include "fault/proxy.h"
#include "settings/format_error.h"
#include "standins/etcd/cluster.h"

namespace ivypost::discovery::etcd {
namespace {

namespace asio = boost::asio;
namespace fakes = standins;
using fakes::etcd::Cluster;

std::string json(int port) {
  return R"({"hostPort":"127.0.0.1:)" + std::to_string(port) + R"(","lifecycle":"up"})";
}
std::string key(const std::string& id) {
  return "/ivypost/nodes/" + id;
}

// A temporary file that is deleted at the end of the test.
class File {
 public:
  explicit File(const std::string& text) { write(text); }
  ~File() { ::unlink(path.c_str()); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  void write(const std::string& text) const { std::ofstream(path) << text; }
  const std::string path = testing::TempDir() + "ivypost-etcd-" + std::to_string(::getpid()) + "-" +
                           std::to_string(reinterpret_cast<std::uintptr_t>(this));
};

class EtcdSourceTest : public testing::Test {
 protected:
  void serve(Cluster::Settings settings = {}) {
    const std::size_t members = settings.members;
    const bool tls = !settings.certificate.empty();
    cluster = std::make_unique<Cluster>(std::move(settings));
    for (std::size_t n = 0; n < members; ++n) {
      options.endpoints.push_back((tls ? "https://127.0.0.1:" : "http://127.0.0.1:") +
                                  std::to_string(cluster->port(n)));
    }
    cluster->put(key("n1"), json(9001));
    cluster->put(key("n2"), json(9002));
  }
  void watch() {
    source = std::make_unique<EtcdSource>(
        io, options, 7,
        discovery::Source::Callbacks{[this](discovery::EndpointList update) {
                                       if (update.isComplete) list.clear();
                                       for (const auto& one : update.instances) {
                                         if (one.state == balancer::EndpointState::Gone) {
                                           list.erase(one.id);
                                         } else {
                                           list[one.id] = one.address.port();
                                         }
                                       }
                                       ++lists;
                                     },
                                     [this] { ++failures; }},
        [this](const std::string& line) { log += line + "\n"; });
    source->watch();
  }
  bool until(const std::function<bool()>& condition,
             std::chrono::seconds timeout = std::chrono::seconds(60)) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }
  bool logged(const std::string& part) const { return log.find(part) != std::string::npos; }
  using List = std::map<std::string, int>;

  asio::io_context io;
  Options options;
  std::unique_ptr<Cluster> cluster;
  std::unique_ptr<EtcdSource> source;
  List list;
  int lists = 0, failures = 0;
  std::string log;
};

TEST_F(EtcdSourceTest, ListsAndWatches) {
  serve({3, {}, "", "", "", "", "", 1});
  options.page = 1;
  watch();
  ASSERT_TRUE(until([&] { return list == List{{"n1", 9001}, {"n2", 9002}}; }));
  cluster->replace({key("n1")}, {{key("n3"), json(9003)}, {key("n4"), json(9004)}});
  ASSERT_TRUE(until([&] { return list == List{{"n2", 9002}, {"n3", 9003}, {"n4", 9004}}; }));
  EXPECT_EQ(lists, 2) << "a transaction in three fragments is one change";
  ASSERT_TRUE(until([&] { return source->freshness().isConfirmed; }));
  source->fetch();
  ASSERT_TRUE(until([&] { return lists == 3; }));
}

// Each fault of a member in turn: every change of the list still arrives.
TEST_F(EtcdSourceTest, AppliesEachChangeThroughEachFaultOfAMember) {
  serve({3, {}, "", "", "", "", "", 2});
  watch();
  ASSERT_TRUE(until([&] { return list.size() == 2; }));
  using Fault = void (Cluster::*)(std::size_t, bool);
  const std::pair<const char*, Fault> faults[] = {{"stall", &Cluster::stall},
                                                  {"withhold", &Cluster::withhold},
                                                  {"lag", &Cluster::lag},
                                                  {"no leader", &Cluster::loseLeader},
                                                  {"refuse", &Cluster::refuse},
                                                  {"repeat", &Cluster::repeatEvents},
                                                  {"ahead", &Cluster::progressAhead}};
  int port = 9100;
  for (const auto& [name, fault] : faults) {
    for (std::size_t member = 0; member < 3; ++member) {
      ((*cluster).*fault)(member, true);
      cluster->replace({key("n" + std::to_string(port))},
                       {{key("n" + std::to_string(port + 1)), json(port + 1)}});
      ++port;
      EXPECT_TRUE(until([&] { return list.size() == 3 && list.count("n" + std::to_string(port)) == 1; }))
          << name << " of member " << member << "\n"
          << log;
      ((*cluster).*fault)(member, false);
    }
  }
  cluster->compact();
  for (std::size_t member = 0; member < 3; ++member) {
    cluster->slow(member, 20'000);
    cluster->dropStreams(member);
    cluster->cutFragment(member);
  }
  cluster->replace({key("n1"), key("n2")}, {{key("n5"), json(9005)}, {key("n6"), json(9006)}});
  EXPECT_TRUE(until([&] { return list.size() == 3 && list.count("n6") == 1; })) << log;
}

// The TCP connection stays open, but no messages pass in either direction.
TEST_F(EtcdSourceTest, ASilentConnectionIsReplaced) {
  serve({2, {}, "", "", "", "", "", 0});
  fault::Proxy::Options through;
  through.listen = asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0);
  through.to = asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), cluster->port(0));
  fault::Proxy proxy(io, through);
  const std::string address = fault::formatAddress(proxy.address());
  options.endpoints = {"http://127.0.0.1" + address.substr(address.rfind(':'))};
  fault::Plan plan;
  plan.rules.push_back({});
  for (const auto direction : {fault::Direction::Request, fault::Direction::Answer})
    plan.rules[0].steps.push_back({direction, {fault::AtCommand{"hush"}, {}}, fault::Swallow{}});
  proxy.apply(plan);
  watch();
  ASSERT_TRUE(until([&] { return source->freshness().isConfirmed; }));
  const auto connections = proxy.counts().open;
  proxy.command("hush");
  cluster->remove(key("n1"));
  EXPECT_EQ(list.size(), 2u) << "the list is unchanged";
  EXPECT_EQ(proxy.counts().open, connections) << "the connection is still open";
  const auto from = std::chrono::steady_clock::now();
  EXPECT_TRUE(until([&] { return list.size() == 1; })) << log;
  EXPECT_LT(std::chrono::steady_clock::now() - from, std::chrono::seconds(8))
      << "detected before gRPC's keepalive pings would";
}

TEST_F(EtcdSourceTest, ConnectsWhenAServerStartsLater) {
  {
    Cluster::Settings settings;
    settings.members = 1;
    const Cluster gone(settings);
    options.endpoints = {"http://127.0.0.1:" + std::to_string(gone.port(0))};
  }
  watch();
  ASSERT_TRUE(until([&] { return logged("unavailable"); }));
  EXPECT_EQ(lists, 0);
  source->fetch();
  ASSERT_TRUE(until([&] { return failures == 1; }));
  Cluster::Settings settings;
  settings.ports = {static_cast<std::uint16_t>(std::stoi(options.endpoints[0].substr(17)))};
  options.endpoints.clear();
  serve(settings);
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

// ---- Authentication and TLS -------------------------------------------------------------------------------

TEST_F(EtcdSourceTest, TokensAreAskedForAndRenewed) {
  const File password("secret\n");
  options.user = "reader";
  options.passwordFile = password.path;
  serve({1, {}, "reader", "secret", "", "", "", 0});
  watch();
  ASSERT_TRUE(until([&] { return source->freshness().isConfirmed; })) << log;
  EXPECT_EQ(cluster->counts().authentications, 1u);
  cluster->expireTokens();
  cluster->remove(key("n1"));
  ASSERT_TRUE(until([&] { return list.size() == 1; })) << log;
  EXPECT_GE(cluster->counts().authentications, 2u);
  EXPECT_LE(cluster->counts().authentications, 4u);
}

TEST_F(EtcdSourceTest, AWrongPasswordIsReportedAndARightOneIsTakenLater) {
  const File password("guess");
  options.user = "reader";
  options.passwordFile = password.path;
  serve({1, {}, "reader", "secret", "", "", "", 0});
  watch();
  ASSERT_TRUE(until([&] { return logged("invalid user ID or password"); })) << log;
  EXPECT_TRUE(list.empty());
  password.write("secret");
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
  EXPECT_TRUE(logged("have changed and are taken"));
}

class TlsTest : public EtcdSourceTest {
 protected:
  void serveTls(const char* served, bool clients) {
    serve({1, {}, "", "", served, certificates::kServerKey, clients ? certificates::kCa : "", 0});
    options.ca = ca.path;
  }
  File ca{certificates::kCa};
  File certificate{certificates::kClient}, privateKey{certificates::kClientKey};
};

TEST_F(TlsTest, ClientAndServerAuthenticateEachOther) {
  serveTls(certificates::kServer, true);
  options.certificate = certificate.path;
  options.key = privateKey.path;
  watch();
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

TEST_F(TlsTest, TheExpectedServerNameCanBeSet) {
  serveTls(certificates::kServer, false);
  options.serverName = "etcd.test";
  watch();
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

struct TlsRow {
  const char* what;
  const char* server;
  bool clients;  // whether clients must present a certificate
  void (*change)(Options&, const File& ca);
};
void PrintTo(const TlsRow& row, std::ostream* out) {
  *out << row.what;
}
class BadTlsTest : public TlsTest, public testing::WithParamInterface<TlsRow> {};

TEST_P(BadTlsTest, IsReportedAndNoListIsAccepted) {
  serveTls(GetParam().server, GetParam().clients);
  GetParam().change(options, ca);
  watch();
  ASSERT_TRUE(until([&] { return std::count(log.begin(), log.end(), '\n') > 0; }));
  EXPECT_TRUE(logged("unavailable")) << log;
  EXPECT_TRUE(list.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Tls, BadTlsTest,
    testing::Values(TlsRow{"RunOut", certificates::kServerExpired, false, [](Options&, const File&) {}},
                    TlsRow{"AnotherAuthority", certificates::kServer, false,
                           [](Options&, const File& ca) { ca.write(certificates::kOtherCa); }},
                    TlsRow{"AnotherName", certificates::kServer, false,
                           [](Options& options, const File&) { options.serverName = "elsewhere.test"; }},
                    TlsRow{"NoClientCertificate", certificates::kServer, true, [](Options&, const File&) {}},
                    TlsRow{"PlainToTls", certificates::kServer, false,
                           [](Options& options, const File&) {
                             options.endpoints[0].erase(4, 1);
                             options.ca.clear();
                           }}),
    [](const auto& row) { return std::string(row.param.what); });

// A certificate that is replaced on disk is loaded without a restart.
TEST_F(TlsTest, ChangedFilesAreLoaded) {
  ca.write(certificates::kOtherCa);
  serveTls(certificates::kServer, false);
  watch();
  ASSERT_TRUE(until([&] { return logged("unavailable"); }));
  ca.write(certificates::kCa);
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

TEST_F(EtcdSourceTest, FilesThatCanNotBeReadAreOneLine) {
  options.endpoints = {"https://127.0.0.1:1"};
  options.ca = "/nowhere/ca.pem";
  try {
    watch();
    FAIL();
  } catch (const settings::FormatError& error) {
    EXPECT_STREQ(error.what(), "ca can't be read or is empty: '/nowhere/ca.pem'");
  }
}

// The source may be destroyed at any time, also with calls and streams in progress.
TEST_F(EtcdSourceTest, MayEndAtAnyMoment) {
  serve({2, {}, "", "", "", "", "", 0});
  for (int turns = 0; turns < 30; ++turns) {
    cluster->stall(0, turns % 3 == 0);
    watch();
    for (int n = 0; n < turns; ++n) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(1));
    }
    source.reset();
  }
  io.restart();
  io.poll();
}

// Guards against a channel that is destroyed on a thread of gRPC's, which then waits for itself and frees the
// channel's queue twice: the source is destroyed just as its calls fail.
TEST_F(EtcdSourceTest, MayEndWhenACallHasFailed) {
  constexpr int kTurns = 200;
  options.endpoints = {"http://127.0.0.1:1"};
  for (int turns = 0; turns < kTurns; ++turns) {
    log.clear();
    watch();
    ASSERT_TRUE(until([&] { return logged("unavailable"); }));
    source.reset();
    io.restart();
    io.poll();
  }
}

}  // namespace
}  // namespace ivypost::discovery::etcd
