// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "request_validator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <ostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ivypost {
namespace {

using balancer::Semantics;
using std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

const Clock::time_point kTime = Clock::time_point(std::chrono::hours(1));

settings::Site site() {
  settings::Site site;
  site.classes = {{"read", 0}, {"pay", 1}, {"write", 2}};
  site.settings.classes.resize(3);
  site.settings.classes[0].semantics = Semantics::Idempotent;
  site.settings.classes[1].semantics = Semantics::Keyed;
  site.settings.classes[2].semantics = Semantics::Unsafe;
  site.tenants = {{"north", 7}};
  return site;
}

Fields validFields(const std::string& requestClass = "read") {
  return {{"X-Qos", requestClass},
          {"X-Trace-Id", "00000000000000ff"},
          {"X-Expires-In-Ms", "1500"},
          {"X-Customer", "north"}};
}

Fields with(Fields fields, const std::string& name, const std::string& value) {
  fields.emplace_back(name, value);
  return fields;
}

Fields without(Fields fields, const std::string& name) {
  std::erase_if(fields, [&](const auto& field) { return field.first == name; });
  return fields;
}

Fields changed(Fields fields, const std::string& name, const std::string& value) {
  return with(without(std::move(fields), name), name, value);
}

RequestHead headOf(const std::string& method, const std::string& target, const Fields& fields) {
  RequestHead head;
  head.method_string(method);
  head.target(target);
  for (const auto& [name, value] : fields) head.insert(name, value);
  return head;
}

std::variant<ClientRequest, RequestError> validate(const RequestHead& head, milliseconds unread = {}) {
  static const settings::Site kSite = site();
  return RequestValidator(kSite).validate(head, unread, kTime, [](std::uint64_t id) { return id != 0xbad; });
}

TEST(RequestValidator, ReadsEveryFieldOfAValidRequest) {
  auto fields = with(with(validFields(), "X-Size-Hint", "250"), "X-Second-Try", "1");
  const auto read = validate(headOf("GET", "/read/item/42?colour=red", fields), milliseconds(500));
  ASSERT_TRUE(std::holds_alternative<ClientRequest>(read)) << std::get<RequestError>(read).reason;
  const auto& request = std::get<ClientRequest>(read);
  EXPECT_EQ(request.requestClass, 0U);
  EXPECT_EQ(request.trace, 0xffU);
  EXPECT_EQ(request.tenant, 7U);
  EXPECT_EQ(request.key, settings::identity("42"));
  EXPECT_EQ(request.work, 250);
  EXPECT_TRUE(request.isRetry);
  EXPECT_EQ(request.expiresIn, 1'000'000);
  EXPECT_EQ(request.deadline, kTime + milliseconds(1000));
  EXPECT_EQ(request.arrived, kTime - milliseconds(500));
}

TEST(RequestValidator, HasNoKeyForAPathOfTheClassAlone) {
  const auto read = validate(headOf("GET", "/read", validFields()));
  ASSERT_TRUE(std::holds_alternative<ClientRequest>(read));
  EXPECT_EQ(std::get<ClientRequest>(read).key, std::nullopt);
  EXPECT_EQ(std::get<ClientRequest>(read).work, std::nullopt);
  EXPECT_FALSE(std::get<ClientRequest>(read).isRetry);
}

TEST(RequestValidator, TakesNoTenantWhereThePlatformHasNone) {
  auto platform = site();
  platform.tenants.clear();
  const auto read = RequestValidator(platform).validate(headOf("GET", "/read/1", validFields()), {}, kTime,
                                                        [](std::uint64_t) { return true; });
  ASSERT_TRUE(std::holds_alternative<ClientRequest>(read));
  EXPECT_EQ(std::get<ClientRequest>(read).tenant, std::nullopt);
}

struct BadHead {
  std::string name, method, target;
  Fields fields;
  unsigned status;
  std::string reason;
  int unreadMs = 0;
};
std::ostream& operator<<(std::ostream& out, const BadHead& one) {
  return out << one.name;
}

class RequestValidatorErrors : public testing::TestWithParam<BadHead> {};

TEST_P(RequestValidatorErrors, NamesTheFirstError) {
  const auto& bad = GetParam();
  const auto read = validate(headOf(bad.method, bad.target, bad.fields), milliseconds(bad.unreadMs));
  ASSERT_TRUE(std::holds_alternative<RequestError>(read));
  EXPECT_EQ(std::get<RequestError>(read).status, bad.status);
  EXPECT_EQ(std::get<RequestError>(read).reason, bad.reason);
}

constexpr const char* kTwice = "a header stands there twice";
constexpr const char* kTraceId = "X-Trace-Id is missing or has not 16 hexadecimal digits";
constexpr const char* kExpires = "X-Expires-In-Ms is missing or no time in milliseconds";
constexpr const char* kSizeHint = "X-Size-Hint is no time in microseconds";
constexpr const char* kCustomer = "X-Customer is missing or unknown";

INSTANTIATE_TEST_SUITE_P(
    Heads, RequestValidatorErrors,
    testing::Values(
        BadHead{"SecondQos", "GET", "/read/1", with(validFields(), "X-Qos", "read"), 400, kTwice},
        BadHead{"SecondTraceId", "GET", "/read/1", with(validFields(), "X-Trace-Id", "1"), 400, kTwice},
        BadHead{"SecondCustomer", "GET", "/read/1", with(validFields(), "X-Customer", "north"), 400, kTwice},
        BadHead{"SecondExpiry", "GET", "/read/1", with(validFields(), "X-Expires-In-Ms", "1500"), 400,
                kTwice},
        BadHead{"SecondKey", "POST", "/pay/1",
                with(with(validFields("pay"), "Idempotency-Key", "k"), "Idempotency-Key", "k"), 400, kTwice},
        BadHead{"SecondSizeHint", "GET", "/read/1",
                with(with(validFields(), "X-Size-Hint", "1"), "X-Size-Hint", "1"), 400, kTwice},
        BadHead{"SecondSecondTry", "GET", "/read/1",
                with(with(validFields(), "X-Second-Try", "1"), "X-Second-Try", "1"), 400, kTwice},
        BadHead{"UnknownClassAheadOfUnknownPath", "GET", "/none/1", validFields("none"), 400,
                "unknown class in X-Qos"},
        BadHead{"UnknownPath", "GET", "/none/1", validFields(), 404, "unknown path"},
        BadHead{"EmptyPath", "GET", "", validFields(), 404, "unknown path"},
        BadHead{"NoSlash", "GET", "xread/1", validFields(), 404, "unknown path"},
        BadHead{"NoQos", "GET", "/read/1", without(validFields(), "X-Qos"), 400, "X-Qos is missing"},
        BadHead{"OtherClass", "GET", "/read/1", validFields("write"), 400,
                "X-Qos and the path name different classes"},
        BadHead{"PostOfIdempotent", "POST", "/read/1", validFields(), 405, "GET only"},
        BadHead{"GetOfUnsafe", "GET", "/write/1", validFields("write"), 405, "POST only"},
        BadHead{"KeyedWithoutKey", "POST", "/pay/1", validFields("pay"), 400, "Idempotency-Key is missing"},
        BadHead{"ShortTraceId", "GET", "/read/1", changed(validFields(), "X-Trace-Id", "ff"), 400, kTraceId},
        BadHead{"LongTraceId", "GET", "/read/1", changed(validFields(), "X-Trace-Id", "000000000000000ff"),
                400, kTraceId},
        BadHead{"NoTraceId", "GET", "/read/1", without(validFields(), "X-Trace-Id"), 400, kTraceId},
        BadHead{"NoHexadecimal", "GET", "/read/1", changed(validFields(), "X-Trace-Id", "00000000000000fg"),
                400, kTraceId},
        BadHead{"TraceIdInUse", "GET", "/read/1", changed(validFields(), "X-Trace-Id", "0000000000000bad"),
                400, "X-Trace-Id is or was lately another request's"},
        BadHead{"NoExpiry", "GET", "/read/1", without(validFields(), "X-Expires-In-Ms"), 400, kExpires},
        BadHead{"NegativeExpiry", "GET", "/read/1", changed(validFields(), "X-Expires-In-Ms", "-1"), 400,
                kExpires},
        BadHead{"ExpiryOverAnHour", "GET", "/read/1", changed(validFields(), "X-Expires-In-Ms", "3600001"),
                400, kExpires},
        BadHead{"NoCustomer", "GET", "/read/1", without(validFields(), "X-Customer"), 400, kCustomer},
        BadHead{"UnknownCustomer", "GET", "/read/1", changed(validFields(), "X-Customer", "x"), 400,
                kCustomer},
        BadHead{"NegativeSizeHint", "GET", "/read/1", with(validFields(), "X-Size-Hint", "-1"), 400,
                kSizeHint},
        BadHead{"SizeHintIsText", "GET", "/read/1", with(validFields(), "X-Size-Hint", "1x"), 400, kSizeHint},
        BadHead{"ExpiredUnread", "GET", "/read/1", validFields(), 503,
                "refused: its time was over when it was read", 1500}),
    [](const auto& test) { return test.param.name; });

TEST(RequestValidator, TakesARequestThatCameWithNoTimeLeft) {
  const auto read = validate(headOf("GET", "/read/1", changed(validFields(), "X-Expires-In-Ms", "0")));
  ASSERT_TRUE(std::holds_alternative<ClientRequest>(read));
  EXPECT_EQ(std::get<ClientRequest>(read).expiresIn, 0);
}

TEST(RequestValidator, TakesAnHourAsTheLongestTime) {
  const auto read = validate(headOf("GET", "/read/1", changed(validFields(), "X-Expires-In-Ms", "3600000")));
  ASSERT_TRUE(std::holds_alternative<ClientRequest>(read));
  EXPECT_EQ(std::get<ClientRequest>(read).expiresIn, 3'600'000'000);
}

TEST(RequestValidator, TakesOnlyA1ForASecondTry) {
  for (const char* value : {"", "0", "11", "true"}) {
    const auto read = validate(headOf("GET", "/read/1", with(validFields(), "X-Second-Try", value)));
    ASSERT_TRUE(std::holds_alternative<ClientRequest>(read)) << value;
    EXPECT_FALSE(std::get<ClientRequest>(read).isRetry) << value;
  }
}

TEST(RequestValidator, HintsAtClassAndTimeThatIsLeft) {
  const auto platform = site();
  const RequestValidator validator(platform);
  const auto hint = validator.hintOf(headOf("POST", "/pay/1", validFields("pay")), milliseconds(2000));
  ASSERT_TRUE(hint);
  EXPECT_EQ(hint->requestClass, 1U);
  EXPECT_EQ(hint->remaining, -500'000);
  EXPECT_FALSE(validator.hintOf(headOf("POST", "/pay/1", validFields("none")), {}));
  EXPECT_FALSE(validator.hintOf(headOf("POST", "/pay/1", without(validFields(), "X-Expires-In-Ms")), {}));
}

}  // namespace
}  // namespace ivypost
