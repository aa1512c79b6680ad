// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "fault/message_scanner.h"

#include <algorithm>
#include <charconv>

namespace ivypost::fault {
namespace {

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

bool sameName(std::string_view a, std::string_view b) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

bool readNumber(std::string_view text, int base, std::uint64_t& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

bool MessageScanner::take(char byte) {
  if (place_.part == Part::Body) {
    ++place_.offset;
    return takeBody(byte);
  }
  ++place_.offset;
  if (byte != '\n') {
    if (line_.size() < kMaxLine) line_ += byte;
    return false;
  }
  const bool empty = trimmed(line_).empty();
  if (empty && firstLine_) {  // RFC 9112, 2.2: an empty line ahead of a message is passed over
    line_.clear();
    return false;
  }
  if (empty) return endHead();
  endLine();
  return false;
}

std::size_t MessageScanner::plainBytes(std::string_view next) const {
  if (place_.part == Part::Head) return std::min(next.find('\n'), next.size());
  if (body_ == Body::Endless) return next.size();
  if (body_ != Body::Length && body_ != Body::ChunkData) return 0;
  return static_cast<std::size_t>(std::min<std::uint64_t>(next.size(), length_ - 1));
}

void MessageScanner::skip(std::string_view bytes) {
  place_.offset += bytes.size();
  if (place_.part == Part::Head) {
    line_.append(bytes.substr(0, kMaxLine - line_.size()));
  } else if (body_ != Body::Endless) {
    length_ -= bytes.size();
  }
}

void MessageScanner::endLine() {
  const std::string_view line = line_;
  if (firstLine_) {
    firstLine_ = false;
    std::uint64_t status = 0;
    if (answers_ && line.size() >= 12 && readNumber(line.substr(9, 3), 10, status))
      status_ = static_cast<unsigned>(status);
  } else if (const auto colon = line.find(':'); colon != std::string_view::npos) {
    const auto name = trimmed(line.substr(0, colon)), value = trimmed(line.substr(colon + 1));
    if (sameName(name, "content-length")) hasLength_ = readNumber(value, 10, length_);
    if (sameName(name, "transfer-encoding"))
      chunked_ = value.size() >= 7 && sameName(value.substr(value.size() - 7), "chunked");
  }
  line_.clear();
}

bool MessageScanner::endHead() {
  line_.clear();
  firstLine_ = true;
  const bool bare = status_ == 204 || status_ == 304 || (status_ >= 100 && status_ < 200);
  body_ = bare         ? Body::None
          : chunked_   ? Body::ChunkSize
          : hasLength_ ? (length_ > 0 ? Body::Length : Body::None)
          : answers_   ? Body::Endless
                       : Body::None;
  if (body_ == Body::None) return endMessage();
  place_.part = Part::Body;
  place_.offset = 0;
  return false;
}

bool MessageScanner::takeBody(char byte) {
  switch (body_) {
    case Body::Length:
      return --length_ == 0 && endMessage();
    case Body::ChunkData:
      if (--length_ == 0) body_ = Body::ChunkEnd;
      return false;
    case Body::ChunkSize:
    case Body::ChunkEnd:
    case Body::Trailer:
      if (byte != '\n') {
        if (line_.size() < kMaxLine) line_ += byte;
        return false;
      }
      break;
    case Body::None:
    case Body::Endless:
      return false;
  }
  const std::string line = std::string(trimmed(line_));
  line_.clear();
  if (body_ == Body::ChunkEnd) {
    body_ = Body::ChunkSize;
  } else if (body_ == Body::Trailer) {
    return line.empty() && endMessage();
  } else if (!readNumber(trimmed(std::string_view(line).substr(0, line.find(';'))), 16, length_)) {
    body_ = Body::Endless;
  } else {
    body_ = length_ == 0 ? Body::Trailer : Body::ChunkData;
  }
  return false;
}

bool MessageScanner::endMessage() {
  const std::uint64_t number = place_.number + 1;
  place_ = Place{};
  place_.number = number;
  body_ = Body::None;
  status_ = 0;
  chunked_ = hasLength_ = false;
  length_ = 0;
  return true;
}

}  // namespace ivypost::fault
