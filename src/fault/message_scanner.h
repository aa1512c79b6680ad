// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tells where the messages of one direction of an HTTP/1.1 connection begin and end (RFC 9112, 2 and 6), byte
// by byte and however they were cut into pieces. It judges nothing: of two lengths it takes the last, and
// what it can't make out counts as a body without end.
#ifndef IVYPOST_FAULT_MESSAGE_SCANNER_H_
#define IVYPOST_FAULT_MESSAGE_SCANNER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace ivypost::fault {

class MessageScanner {
 public:
  explicit MessageScanner(bool answers) : answers_(answers) {}

  enum class Part : std::uint8_t { Head, Body };
  // Where the next byte stands: in this message, so many bytes into this part of it. An informational answer
  // (1xx) is a message of its own, with only a head.
  struct Place {
    Part part = Part::Head;
    std::uint64_t number = 1, offset = 0;
  };
  Place next() const { return place_; }

  // Takes the next byte. True if it is the last of message `next().number` as that was before the call.
  bool take(char byte);

  // So many of the bytes that come next lie within a body or a line of a head, and none of them ends it.
  std::size_t plainBytes(std::string_view next) const;
  // Takes bytes that plainBytes() has counted.
  void skip(std::string_view bytes);

  static constexpr std::size_t kMaxLine = 4096;  // of a header line this much is looked at

 private:
  enum class Body : std::uint8_t { None, Length, ChunkSize, ChunkData, ChunkEnd, Trailer, Endless };

  void endLine();
  bool endHead();
  bool takeBody(char byte);
  bool endMessage();

  const bool answers_;
  Place place_;
  std::string line_;
  bool firstLine_ = true;
  unsigned status_ = 0;
  Body body_ = Body::None;
  bool chunked_ = false, hasLength_ = false;
  std::uint64_t length_ = 0;  // of the body, then what is left of it or of its chunk
};

}  // namespace ivypost::fault

#endif  // IVYPOST_FAULT_MESSAGE_SCANNER_H_
