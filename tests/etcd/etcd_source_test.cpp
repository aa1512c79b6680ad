// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The source over gRPC against the stand-in, on loopback: what only real connections show (tokens,
// certificates, members that hang or refuse, ends in the middle of calls), and the stand-in by its API's own
// stubs.
#include "etcd/etcd_source.h"

#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <fstream>
#include <memory>

#include "etcd.grpc.pb.h"
#include "etcd/certificates.h"
#include "fault/proxy.h"
#include "settings/settings.h"
#include "standins/etcd/cluster.h"
#include "standins/etcd/commands.h"

namespace ivypost::etcd {
namespace {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using standins::etcd::Cluster;

std::string json(int port) {
  return R"({"hostPort":"127.0.0.1:)" + std::to_string(port) + R"(","lifecycle":"up"})";
}
std::string key(const std::string& id) {
  return "/ivypost/nodes/" + id;
}

// A file that goes with the test.
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
  void follow() {
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
                                       ++told;
                                     },
                                     [this] { ++failed; }},
        [this](const std::string& line) { log += line + "\n"; });
    source->watch();
  }
  bool until(const std::function<bool()>& condition,
             std::chrono::seconds patience = std::chrono::seconds(60)) {
    const auto end = std::chrono::steady_clock::now() + patience;
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
  int told = 0, failed = 0;
  std::string log;
};

TEST_F(EtcdSourceTest, ListsAndWatches) {
  serve({3, {}, "", "", "", "", "", 1});
  options.page = 1;
  follow();
  ASSERT_TRUE(until([&] { return list == List{{"n1", 9001}, {"n2", 9002}}; }));
  cluster->replace({key("n1")}, {{key("n3"), json(9003)}, {key("n4"), json(9004)}});
  ASSERT_TRUE(until([&] { return list == List{{"n2", 9002}, {"n3", 9003}, {"n4", 9004}}; }));
  EXPECT_EQ(told, 2) << "a transaction in three fragments is one change";
  ASSERT_TRUE(until([&] { return source->freshness().isConfirmed; }));
  source->fetch();
  ASSERT_TRUE(until([&] { return told == 3; }));
}

// Every fault of a member, one after the other; each time the list is followed all the same.
TEST_F(EtcdSourceTest, FollowsThroughEachFaultOfAMember) {
  serve({3, {}, "", "", "", "", "", 2});
  follow();
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

// The TCP connection stays open and silent: only its messages tell.
TEST_F(EtcdSourceTest, AConnectionThatIsSilentIsLeft) {
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
  follow();
  ASSERT_TRUE(until([&] { return source->freshness().isConfirmed; }));
  const auto connections = proxy.counts().open;
  proxy.command("hush");
  cluster->remove(key("n1"));
  EXPECT_EQ(list.size(), 2u) << "it stays as it was";
  EXPECT_EQ(proxy.counts().open, connections) << "nothing tells but silence";
  const auto from = std::chrono::steady_clock::now();
  EXPECT_TRUE(until([&] { return list.size() == 1; })) << log;
  EXPECT_LT(std::chrono::steady_clock::now() - from, std::chrono::seconds(8))
      << "not as late as gRPC's pings";
}

TEST_F(EtcdSourceTest, NobodyListensAndThenSomebodyDoes) {
  {
    Cluster::Settings settings;
    settings.members = 1;
    const Cluster gone(settings);
    options.endpoints = {"http://127.0.0.1:" + std::to_string(gone.port(0))};
  }
  follow();
  ASSERT_TRUE(until([&] { return logged("unavailable"); }));
  EXPECT_EQ(told, 0);
  source->fetch();
  ASSERT_TRUE(until([&] { return failed == 1; }));
  Cluster::Settings settings;
  settings.ports = {static_cast<std::uint16_t>(std::stoi(options.endpoints[0].substr(17)))};
  options.endpoints.clear();
  serve(settings);
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

// ---- Who may ----------------------------------------------------------------------------------------------

TEST_F(EtcdSourceTest, TokensAreAskedForAndRenewed) {
  const File password("secret\n");
  options.user = "reader";
  options.passwordFile = password.path;
  serve({1, {}, "reader", "secret", "", "", "", 0});
  follow();
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
  follow();
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

TEST_F(TlsTest, BothSidesAreKnownToEachOther) {
  serveTls(certificates::kServer, true);
  options.certificate = certificate.path;
  options.key = privateKey.path;
  follow();
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

TEST_F(TlsTest, TheServersNameMayBeAnother) {
  serveTls(certificates::kServer, false);
  options.serverName = "etcd.test";
  follow();
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

struct TlsRow {
  const char* what;
  const char* server;
  bool clients;  // have to show a certificate
  void (*change)(Options&, const File& ca);
};
void PrintTo(const TlsRow& row, std::ostream* out) {
  *out << row.what;
}
class BadTlsTest : public TlsTest, public testing::WithParamInterface<TlsRow> {};

TEST_P(BadTlsTest, IsReportedAndNothingIsTaken) {
  serveTls(GetParam().server, GetParam().clients);
  GetParam().change(options, ca);
  follow();
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

// A certificate that is replaced on disk is taken without a restart.
TEST_F(TlsTest, FilesThatChangeAreTaken) {
  ca.write(certificates::kOtherCa);
  serveTls(certificates::kServer, false);
  follow();
  ASSERT_TRUE(until([&] { return logged("unavailable"); }));
  ca.write(certificates::kCa);
  EXPECT_TRUE(until([&] { return list.size() == 2; })) << log;
}

TEST_F(EtcdSourceTest, FilesThatCanNotBeReadAreOneLine) {
  options.endpoints = {"https://127.0.0.1:1"};
  options.ca = "/nowhere/ca.pem";
  try {
    follow();
    FAIL();
  } catch (const settings::FormatError& error) {
    EXPECT_STREQ(error.what(), "ca can't be read or is empty: '/nowhere/ca.pem'");
  }
}

// It may end at any moment, with calls and streams out.
TEST_F(EtcdSourceTest, MayEndAtAnyMoment) {
  serve({2, {}, "", "", "", "", "", 0});
  for (int turns = 0; turns < 30; ++turns) {
    cluster->stall(0, turns % 3 == 0);
    follow();
    for (int n = 0; n < turns; ++n) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(1));
    }
    source.reset();
  }
  io.restart();
  io.poll();
}

// ---- The stand-in by the API's own stubs ------------------------------------------------------------------

class ApiTest : public testing::Test {
 protected:
  ApiTest()
      : cluster({1, {}, "", "", "", "", "", 0}),
        channel(grpc::CreateChannel("127.0.0.1:" + std::to_string(cluster.port(0)),
                                    grpc::InsecureChannelCredentials())),
        kv(pb::KV::NewStub(channel)),
        lease(pb::Lease::NewStub(channel)),
        watch(pb::Watch::NewStub(channel)),
        auth(pb::Auth::NewStub(channel)) {}
  Cluster cluster;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<pb::KV::Stub> kv;
  std::unique_ptr<pb::Lease::Stub> lease;
  std::unique_ptr<pb::Watch::Stub> watch;
  std::unique_ptr<pb::Auth::Stub> auth;
};

TEST_F(ApiTest, KeysTransactionsAndCompaction) {
  pb::PutRequest put;
  put.set_key("a");
  put.set_value("1");
  pb::PutResponse putResponse;
  {
    grpc::ClientContext context;
    ASSERT_TRUE(kv->Put(&context, put, &putResponse).ok());
  }
  EXPECT_EQ(putResponse.header().revision(), 2);
  EXPECT_NE(putResponse.header().cluster_id(), 0u);
  pb::TxnRequest txn;
  txn.add_success()->mutable_request_delete_range()->set_key("a");
  *txn.add_success()->mutable_request_put() = put;
  txn.mutable_success(1)->mutable_request_put()->set_key("b");
  pb::TxnResponse txnResponse;
  {
    grpc::ClientContext context;
    ASSERT_TRUE(kv->Txn(&context, txn, &txnResponse).ok());
  }
  EXPECT_EQ(txnResponse.header().revision(), 3);
  pb::CompactionRequest compaction;
  compaction.set_revision(3);
  pb::CompactionResponse compacted;
  {
    grpc::ClientContext context;
    ASSERT_TRUE(kv->Compact(&context, compaction, &compacted).ok());
  }
  pb::RangeRequest range;
  range.set_key("a");
  range.set_revision(2);
  pb::RangeResponse rangeResponse;
  grpc::ClientContext context;
  const grpc::Status status = kv->Range(&context, range, &rangeResponse);
  EXPECT_EQ(status.error_code(), grpc::StatusCode::OUT_OF_RANGE);
  pb::DeleteRangeRequest erase;
  erase.set_key("b");
  pb::DeleteRangeResponse erased;
  grpc::ClientContext another;
  ASSERT_TRUE(kv->DeleteRange(&another, erase, &erased).ok());
  EXPECT_EQ(erased.deleted(), 1);
}

TEST_F(ApiTest, SeveralWatchesOnOneStreamAndALeaseThatEnds) {
  grpc::ClientContext context;
  const auto stream = watch->Watch(&context);
  pb::WatchRequest request;
  request.mutable_create_request()->set_key("k");
  ASSERT_TRUE(stream->Write(request));
  request.mutable_create_request()->set_key("l");
  ASSERT_TRUE(stream->Write(request));
  pb::WatchResponse response;
  for (const int id : {0, 1}) {
    ASSERT_TRUE(stream->Read(&response));
    EXPECT_TRUE(response.created());
    EXPECT_EQ(response.watch_id(), id);
  }
  pb::LeaseGrantRequest grant;
  grant.set_ttl(1);
  pb::LeaseGrantResponse granted;
  {
    grpc::ClientContext call;
    ASSERT_TRUE(lease->LeaseGrant(&call, grant, &granted).ok());
  }
  pb::PutRequest put;
  put.set_key("l");
  put.set_lease(granted.id());
  pb::PutResponse putResponse;
  {
    grpc::ClientContext call;
    ASSERT_TRUE(kv->Put(&call, put, &putResponse).ok());
  }
  ASSERT_TRUE(stream->Read(&response));
  EXPECT_EQ(response.watch_id(), 1);
  {
    grpc::ClientContext call;
    const auto alive = lease->LeaseKeepAlive(&call);
    pb::LeaseKeepAliveRequest keep;
    keep.set_id(granted.id());
    pb::LeaseKeepAliveResponse kept;
    ASSERT_TRUE(alive->Write(keep));
    ASSERT_TRUE(alive->Read(&kept));
    EXPECT_EQ(kept.ttl(), 1);
    keep.set_id(12345);
    ASSERT_TRUE(alive->Write(keep));
    ASSERT_TRUE(alive->Read(&kept));
    EXPECT_EQ(kept.ttl(), 0) << "there is no such lease";
    alive->WritesDone();
    EXPECT_TRUE(alive->Finish().ok());
  }
  ASSERT_TRUE(stream->Read(&response)) << "the lease ends, and its key with it";
  EXPECT_EQ(response.events(0).type(), mvccpb::Event::DELETE);
  put.set_lease(99);
  grpc::ClientContext call;
  EXPECT_EQ(kv->Put(&call, put, &putResponse).error_code(), grpc::StatusCode::NOT_FOUND);
  pb::LeaseRevokeRequest revoke;
  revoke.set_id(99);
  pb::LeaseRevokeResponse revoked;
  grpc::ClientContext another;
  EXPECT_EQ(lease->LeaseRevoke(&another, revoke, &revoked).error_code(), grpc::StatusCode::NOT_FOUND);
  request.Clear();
  request.mutable_progress_request();
  ASSERT_TRUE(stream->Write(request));
  ASSERT_TRUE(stream->Read(&response));
  EXPECT_EQ(response.watch_id(), -1);
  EXPECT_EQ(response.header().revision(), cluster.revision());
  context.TryCancel();
}

TEST_F(ApiTest, AuthenticationWhereItIsNotOn) {
  pb::AuthenticateRequest request;
  request.set_name("reader");
  pb::AuthenticateResponse response;
  grpc::ClientContext context;
  EXPECT_EQ(auth->Authenticate(&context, request, &response).error_code(),
            grpc::StatusCode::FAILED_PRECONDITION);
}

// ---- Its commands -----------------------------------------------------------------------------------------

TEST_F(ApiTest, CommandsAreCarriedOutOrRefusedInOneLine) {
  using standins::etcd::command;
  EXPECT_EQ(command(cluster, 1, "put k1 a b c"), "revision 2");
  EXPECT_EQ(command(cluster, 1, "fill /p/ 250"), "revision 5");
  EXPECT_EQ(cluster.keys("/p/"), 250u);
  EXPECT_EQ(command(cluster, 1, "del k1"), "revision 6");
  EXPECT_EQ(command(cluster, 1, "churn /p/ 1000 1"), "revision 1006");
  for (const char* line : {"compact", "backup", "restore new", "expire-tokens", "drop 1", "cut 1",
                           "stall 1 on", "stall 1 off", "withhold 1 off", "lag 1 off", "no-leader 1 off",
                           "refuse 1 off", "repeat 1 off", "ahead 1 off", "slow 1 0", "counts", "help"})
    EXPECT_NO_THROW(command(cluster, 1, line)) << line;
  for (const char* line :
       {"", "putt a b", "put", "del", "del a b", "drop 0", "drop 2", "drop x", "stall 1", "stall 1 maybe",
        "slow 1 -1", "restore", "restore old", "fill /p/ 0", "compact now"}) {
    try {
      command(cluster, 1, line);
      ADD_FAILURE() << "'" << line << "' was taken";
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos) << line;
    }
  }
}

}  // namespace
}  // namespace ivypost::etcd
