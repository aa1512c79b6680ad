// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A body on its way from one connection to another: the bytes that have come and not gone on, and what either
// side may do next. No I/O: a producer reads as much as there is room for, a consumer writes what stands in
// front, and each is told when the other has changed something.
//
// Guards memory: a slow consumer makes room() 0, so the producer stops reading and its peer stands still.
#ifndef IVYPOST_RELAY_PIPE_H_
#define IVYPOST_RELAY_PIPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "relay/budget.h"

namespace ivypost::relay {

class Pipe {
 public:
  // What a pipe holds whatever the budget says, and what it holds if the budget gives it.
  static constexpr std::size_t kLeast = 16UL * 1024;
  static constexpr std::size_t kWanted = 128UL * 1024;

  explicit Pipe(Budget& budget);
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  // Told after each change, from within the call that made it; it must not call the pipe from there.
  std::function<void()> onData;  // the consumer: there is more, or its end
  std::function<void()> onRoom;  // the producer: there is room, or nobody wants more

  // The producer's side.
  std::size_t room() const;
  void push(std::string_view bytes);  // more than room() is taken too: it has been read already
  void end();                         // that was all
  void fail();                        // the rest will not come
  bool abandoned() const { return abandoned_; }

  // The consumer's side.
  std::string_view front() const { return std::string_view(bytes_).substr(from_); }
  void pop(std::size_t size);
  void abandon();  // nobody takes the rest
  bool done() const { return ended_ && front().empty(); }
  bool failed() const { return failed_; }

  bool ended() const { return ended_; }
  // Of all that came, what has gone on: over 0, the body can't be sent anew.
  std::uint64_t gone() const { return gone_; }

 private:
  void tell(const std::function<void()>& side) const {
    if (side) side();
  }

  Budget::Share share_;
  std::size_t most_ = kLeast;
  std::string bytes_;
  std::size_t from_ = 0;  // what stands before has gone on
  std::uint64_t gone_ = 0;
  bool ended_ = false, failed_ = false, abandoned_ = false;
};

}  // namespace ivypost::relay

#endif  // IVYPOST_RELAY_PIPE_H_
