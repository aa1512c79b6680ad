// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "upstream/answer_parser.h"

#include <boost/beast/http.hpp>

#include "framing.h"
#include "stream_writer.h"

namespace ivypost {
namespace {

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
  parser_->header_limit(kMaxHeader);
  parser_->body_limit(kMaxBody);
}

// Guards against an answer without end: Boost.Beast 1.74 forgets that a length is over the limit when the
// body comes along with the header, so the header is read apart.
bool AnswerParser::parse() {
  beast::error_code error;
  while (!error && !parser_->is_done() && buffer_.size() > 0) {
    const bool isHead = !parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (!isHead || error || !parser_->is_header_done()) continue;
    if (!acceptHead()) return false;
  }
  return !error || error == http::error::need_more;
}

// A head has come. An informational one makes room for the next.
bool AnswerParser::acceptHead() {
  const auto& answer = parser_->get();
  // By the number: Boost.Beast 1.74 has no name for 103.
  if (http::to_status_class(answer.result_int()) == http::status_class::informational) {
    // A switch of protocols was not asked for, and no answer comes after it.
    if (answer.result() == http::status::switching_protocols) return false;
    if (informational_ == kMaxInformational) return false;
    ++informational_;
    beginHead();
    return true;
  }
  if (!hasUnambiguousFraming(answer)) return false;
  if (const auto stated = length(); stated && *stated > kMaxBody) return false;
  parser_->eager(true);
  return true;
}

bool AnswerParser::end() {
  beast::error_code error;
  parser_->put_eof(error);
  return !error;
}

bool AnswerParser::hasTooMuchUnread() const {
  return buffer_.size() > kMaxHeader + kStreamReadSize;
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
