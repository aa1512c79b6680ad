// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/answer_parser.h"

#include <algorithm>
#include <bit>
#include <boost/beast/http.hpp>
#include <utility>

#include "framing.h"
#include "memory_plan.h"
#include "util/fnv1a.h"

namespace ivypost {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using balancer::Outcome;

}  // namespace

void AnswerParser::begin() {
  beginHead();
  informational_ = 0;
}

void AnswerParser::beginHead() {
  parser_.emplace();
  headCost_ = 0;
  removesBody_ = false;
  parser_->header_limit(kMaxHeader);
  parser_->body_limit(kMaxBody);
  fingerprint_ = util::kFnv1aOffsetBasis;
  fingerprintBytes_ = 0;
}

void AnswerParser::clear() {
  parser_.reset();
  headCost_ = 0;
  if (buffer_.capacity() > UpstreamConnectionMemory::kReadSize) buffer_.shrink_to_fit();
}

void AnswerParser::beginRemovingBody() {
  removesBody_ = true;
}

void AnswerParser::dropHead() {
  parser_->get().base().clear();
  headCost_ = 0;
  if (buffer_.capacity() > UpstreamConnectionMemory::kReadSize) buffer_.shrink_to_fit();
}

// ---- Memory -----------------------------------------------------------------------------------------------

std::size_t AnswerParser::bufferCapacityFor(std::size_t size) const {
  const std::size_t needed = buffer_.size() + size;
  return needed <= buffer_.capacity() ? buffer_.capacity() : std::bit_ceil(needed);
}

std::size_t AnswerParser::bodyCapacityFor(std::size_t size) const {
  if (!parser_->is_header_done()) return 0;
  const std::size_t needed = body().size() + buffer_.size() + size;
  if (needed <= body().capacity()) return body().capacity();
  // A short body of a stated length is allocated once.
  if (const auto stated = length(); !removesBody_ && stated && *stated <= kStreamingThreshold)
    return std::max(body().capacity(), static_cast<std::size_t>(*stated));
  return std::max(std::bit_ceil(needed), UpstreamConnectionMemory::kBody);
}

AnswerParser::Memory AnswerParser::memoryFor(std::size_t size) const {
  return {bufferCapacityFor(size) + headCost_, bodyCapacityFor(size)};
}

asio::mutable_buffer AnswerParser::prepare(std::size_t size) {
  if (const std::size_t capacity = bodyCapacityFor(size); capacity > body().capacity()) {
    // A new string, since reserve() may double the capacity instead.
    std::string grown;
    grown.reserve(capacity);
    grown.append(body());
    body() = std::move(grown);
  }
  buffer_.max_size(bufferCapacityFor(size));  // otherwise the buffer may double its capacity beyond that
  return buffer_.prepare(size);
}

void AnswerParser::extendFingerprint(std::string_view bytes) {
  const std::string_view covered = bytes.substr(0, kFingerprintSize - fingerprintBytes_);
  fingerprint_ = util::fnv1a(covered, fingerprint_);
  fingerprintBytes_ += covered.size();
}

// Parses the header separately from the body. Boost.Beast 1.74 does not enforce the body limit on a stated
// length when header and body are parsed in one call, so that an answer could be unbounded.
bool AnswerParser::parse() {
  beast::error_code error;
  while (!error && !parser_->is_done() && buffer_.size() > 0) {
    const bool isHead = !parser_->is_header_done();
    const auto data = buffer_.data();
    const std::size_t parsed = parser_->put(data, error);
    extendFingerprint({static_cast<const char*>(data.data()), parsed});
    buffer_.consume(parsed);
    if (!isHead || error || !parser_->is_header_done()) continue;
    if (!acceptHead()) return false;
  }
  return !error || error == http::error::need_more;
}

// Called for each complete head. After an informational one the parser is reset for the next head.
bool AnswerParser::acceptHead() {
  const auto& answer = parser_->get();
  // Classified by number, since Boost.Beast 1.74 has no enumerator for 103.
  if (http::to_status_class(answer.result_int()) == http::status_class::informational) {
    // The sidecar never requests a protocol switch, and no HTTP answer would follow it.
    if (answer.result() == http::status::switching_protocols) return false;
    if (informational_ == kMaxInformational) return false;
    ++informational_;
    beginHead();
    return true;
  }
  if (!hasUnambiguousFraming(answer)) return false;
  if (const auto stated = length(); stated && *stated > kMaxBody) return false;
  parser_->eager(true);
  for (const auto& field : answer) {
    headCost_ += ClientConnectionMemory::kHeaderOverhead;
    headCost_ += field.name_string().size() + field.value().size();
  }
  return true;
}

bool AnswerParser::end() {
  beast::error_code error;
  parser_->put_eof(error);
  return !error;
}

bool AnswerParser::hasTooMuchUnparsed() const {
  return buffer_.size() > kMaxHeader;
}

Outcome AnswerParser::outcome() const {
  const auto& answer = parser_->get();
  if (answer.result() == http::status::ok) return Outcome::Ok;
  const bool isRejection = answer.result() == http::status::service_unavailable ||
                           answer.result() == http::status::gateway_timeout;
  return isRejection && answer["X-Never-Ran"] == "1" ? Outcome::Full : Outcome::Error;
}

std::optional<std::uint64_t> AnswerParser::length() const {
  const auto stated = parser_->content_length();
  return stated ? std::optional<std::uint64_t>(*stated) : std::nullopt;
}

std::string_view AnswerParser::contentType() const {
  return view(parser_->get()[http::field::content_type]);
}

std::string_view AnswerParser::loadReport() const {
  return view(parser_->get()["Endpoint-Load-Metrics"]);
}

}  // namespace ivypost
