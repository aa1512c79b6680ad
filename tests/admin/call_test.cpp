// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "admin/call.h"

#include <gtest/gtest.h>

namespace ivypost::admin {
namespace {

TEST(CallTest, MapsEachPathToItsCall) {
  struct Case {
    const char *method, *target;
    Call::Kind kind;
    const char* upstream;
  };
  for (const Case& testCase : {Case{"GET", "/api/ready", Call::Kind::Ready, ""},
                               Case{"GET", "/api/ready?now=1", Call::Kind::Ready, ""},
                               Case{"POST", "/api/exclude/s-5be2a07c", Call::Kind::Exclude, "s-5be2a07c"},
                               Case{"POST", "/api/include/s%2D1%2f%20b", Call::Kind::Include, "s-1/ b"},
                               Case{"POST", "/api/exclude/%25", Call::Kind::Exclude, "%"},
                               Case{"POST", "/api/evacuate", Call::Kind::Evacuate, ""},
                               Case{"POST", "/api/rejoin", Call::Kind::Rejoin, ""}}) {
    const auto routed = route(testCase.method, testCase.target);
    const auto* call = std::get_if<Call>(&routed);
    ASSERT_NE(call, nullptr) << testCase.target;
    EXPECT_EQ(call->kind, testCase.kind) << testCase.target;
    EXPECT_EQ(call->upstream, testCase.upstream) << testCase.target;
  }
}

TEST(CallTest, InvalidRequestsGetAnErrorStatusInOneLine) {
  struct Case {
    const char *method, *target;
    unsigned status;
  };
  for (const Case& testCase :
       {Case{"POST", "/api/ready", 405}, Case{"GET", "/api/evacuate", 405},
        Case{"GET", "/api/exclude/a", 405}, Case{"HEAD", "/api/ready", 405},
        Case{"PUT", "/api/include/a", 405}, Case{"GET", "/", 404}, Case{"GET", "", 404},
        Case{"GET", "/api/readyx", 404}, Case{"GET", "/api/ready/", 404}, Case{"POST", "/api/exclude", 404},
        Case{"POST", "/api/exclude/", 404}, Case{"POST", "/api/exclude/a/b", 404},
        Case{"POST", "/api/include/%", 404}, Case{"POST", "/api/include/a%4", 404},
        Case{"POST", "/api/include/%zz", 404}, Case{"POST", "/api/include/%-1", 404},
        Case{"POST", "/api/exclude/?a", 404}, Case{"POST", "/API/evacuate", 404}}) {
    const auto routed = route(testCase.method, testCase.target);
    const auto* reply = std::get_if<Reply>(&routed);
    ASSERT_NE(reply, nullptr) << testCase.target;
    EXPECT_EQ(reply->status, testCase.status) << testCase.target;
    EXPECT_EQ(reply->text.find('\n'), std::string::npos);
  }
}

}  // namespace
}  // namespace ivypost::admin
