// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "request_validator.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <string>
#include <system_error>
#include <vector>

namespace ivypost {
namespace {

namespace http = boost::beast::http;
using balancer::Semantics;
using std::chrono::milliseconds;

// The longest time that a client may state, so that sums of times can't overflow.
constexpr std::int64_t kMaxExpiresInMs = 3'600'000;
// X-Trace-Id is a 64-bit number with all its hexadecimal digits.
constexpr std::size_t kTraceIdDigits = 16;
constexpr int kHexBase = 16;

template <class Number>
std::optional<Number> toNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::optional<std::string_view> header(const RequestHead& head, std::string_view name) {
  const auto found = head.find(boost::beast::string_view(name.data(), name.size()));
  if (found == head.end()) return std::nullopt;
  return std::string_view(found->value().data(), found->value().size());
}

// Whether a header that the sidecar evaluates occurs more than once: the upstream might use another one of
// its values.
bool hasRepeatedHeader(const RequestHead& head) {
  for (const char* name : {"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In-Ms", "Idempotency-Key",
                           "X-Size-Hint", "X-Second-Try"}) {
    if (head.count(name) > 1) return true;
  }
  return false;
}

std::string_view pathOf(const RequestHead& head) {
  const std::string_view target(head.target().data(), head.target().size());
  return target.substr(0, target.find('?'));
}

std::optional<std::int64_t> expiresInMs(const RequestHead& head) {
  const auto expires = toNumber<std::int64_t>(header(head, "X-Expires-In-Ms").value_or(""));
  if (!expires || *expires < 0 || *expires > kMaxExpiresInMs) return std::nullopt;
  return expires;
}

std::optional<std::uint64_t> parseTraceId(const RequestHead& head) {
  const auto trace = header(head, "X-Trace-Id").value_or("");
  if (trace.size() != kTraceIdDigits) return std::nullopt;
  return toNumber<std::uint64_t>(trace, kHexBase);
}

std::optional<RequestError> readTraceId(const RequestHead& head,
                                        const RequestValidator::IsTraceIdFree& isTraceIdFree,
                                        ClientRequest& request) {
  const auto id = parseTraceId(head);
  if (!id) return RequestError{400, "X-Trace-Id is missing or has not 16 hexadecimal digits"};
  if (!isTraceIdFree(*id)) return RequestError{400, kTraceIdInUse};
  request.trace = *id;
  return std::nullopt;
}

std::optional<RequestError> readTimes(const RequestHead& head, milliseconds unread, Clock::time_point time,
                                      ClientRequest& request) {
  const auto expires = expiresInMs(head);
  if (!expires) return RequestError{400, "X-Expires-In-Ms is missing or no time in milliseconds"};
  request.expiresIn = std::max<Micros>(0, (*expires - unread.count()) * 1000);
  request.deadline = time + std::chrono::microseconds(request.expiresIn);
  request.arrived = time - unread;
  return std::nullopt;
}

std::optional<RequestError> readSizeHint(const RequestHead& head, ClientRequest& request) {
  const auto hint = header(head, "X-Size-Hint");
  if (!hint) return std::nullopt;
  request.work = toNumber<Micros>(*hint);
  if (!request.work || *request.work < 0) return RequestError{400, "X-Size-Hint is no time in microseconds"};
  return std::nullopt;
}

}  // namespace

std::uint64_t traceIdOf(const RequestHead& head) {
  return parseTraceId(head).value_or(0);
}

std::variant<ClientRequest, RequestError> RequestValidator::validate(
    const RequestHead& head, milliseconds unread, Clock::time_point time,
    const IsTraceIdFree& isTraceIdFree) const {
  if (hasRepeatedHeader(head)) return RequestError{400, "a header stands there twice"};
  const std::string_view path = pathOf(head);
  const bool isAbsolute = !path.empty() && path.front() == '/';
  const auto segments = settings::split(path.substr(path.empty() ? 0 : 1), '/');
  const auto first =
      isAbsolute && !segments.empty() ? std::optional<std::string_view>(segments.front()) : std::nullopt;

  ClientRequest request;
  if (const auto error = readClass(head, first, request)) return *error;
  if (const auto error = checkMethod(head, request.requestClass)) return *error;
  if (const auto error = readTraceId(head, isTraceIdFree, request)) return *error;
  if (const auto error = readTimes(head, unread, time, request)) return *error;
  if (const auto error = readTenant(head, request)) return *error;
  if (const auto error = readSizeHint(head, request)) return *error;
  if (segments.size() > 1) request.key = settings::identity(segments.back());
  request.isRetry = header(head, "X-Second-Try").value_or("") == "1";
  if (unread > milliseconds(0) && request.expiresIn == 0)
    return RequestError{503, "refused: its time was over when it was read"};
  return request;
}

std::optional<RequestHint> RequestValidator::hintOf(const RequestHead& head, milliseconds unread) const {
  const auto qos = header(head, "X-Qos");
  const auto named = qos ? site_.classes.find(*qos) : site_.classes.end();
  const auto expires = expiresInMs(head);
  if (named == site_.classes.end() || !expires) return std::nullopt;
  return RequestHint{named->second, (*expires - unread.count()) * 1000};
}

RequestValidator::Error RequestValidator::readClass(const RequestHead& head,
                                                    std::optional<std::string_view> firstSegment,
                                                    ClientRequest& request) const {
  const auto inPath = firstSegment ? site_.classes.find(*firstSegment) : site_.classes.end();
  const auto qos = header(head, "X-Qos");
  const auto named = qos ? site_.classes.find(*qos) : site_.classes.end();
  if (qos && named == site_.classes.end()) return RequestError{400, "unknown class in X-Qos"};
  if (inPath == site_.classes.end()) return RequestError{404, "unknown path"};
  if (!qos) return RequestError{400, "X-Qos is missing"};
  if (named != inPath) return RequestError{400, "X-Qos and the path name different classes"};
  request.requestClass = named->second;
  return std::nullopt;
}

RequestValidator::Error RequestValidator::checkMethod(const RequestHead& head,
                                                      std::uint32_t requestClass) const {
  const auto semantics = site_.settings.classes.at(requestClass).semantics;
  const bool needsPost = semantics != Semantics::Idempotent;
  if (head.method() != (needsPost ? http::verb::post : http::verb::get))
    return RequestError{405, needsPost ? "POST only" : "GET only"};
  if (semantics == Semantics::Keyed && header(head, "Idempotency-Key").value_or("").empty())
    return RequestError{400, "Idempotency-Key is missing"};
  return std::nullopt;
}

RequestValidator::Error RequestValidator::readTenant(const RequestHead& head, ClientRequest& request) const {
  if (site_.tenants.empty()) return std::nullopt;
  const auto customer = header(head, "X-Customer");
  const auto tenant = customer ? site_.tenants.find(*customer) : site_.tenants.end();
  if (tenant == site_.tenants.end()) return RequestError{400, "X-Customer is missing or unknown"};
  request.tenant = tenant->second;
  return std::nullopt;
}

}  // namespace ivypost
