// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The fake cluster by the stubs of etcd's own API, and its commands.
#include "standins/etcd/cluster.h"

#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <string>

#include "etcd.grpc.pb.h"
#include "standins/etcd/commands.h"

namespace ivypost::standins::etcd {
namespace {

namespace pb = etcdserverpb;

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
}  // namespace ivypost::standins::etcd
