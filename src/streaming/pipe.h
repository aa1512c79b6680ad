// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A body on its way from one connection to another: the bytes that have come and not gone on, and what either
// side may do next. No I/O: a producer reads as much as there is room for, a consumer writes what stands in
// front, and each is told when the other has changed something.
//
// Guards memory: a slow consumer makes freeCapacity() 0, so the producer stops reading and its peer stands
// still.
#ifndef IVYPOST_STREAMING_PIPE_H_
#define IVYPOST_STREAMING_PIPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "streaming/byte_budget.h"

namespace ivypost::streaming {

class Pipe {
 public:
  // What a pipe holds whatever the budget says, and what it holds if the budget gives it.
  static constexpr std::size_t kMinCapacity = 16UL * 1024;
  static constexpr std::size_t kPreferredCapacity = 128UL * 1024;

  explicit Pipe(ByteBudget& budget);
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  // Told after each change, from within the call that made it; it must not call the pipe from there.
  std::function<void()> onData;      // the consumer: there is more, or its end
  std::function<void()> onCapacity;  // the producer: there is room, or nobody wants more

  // The producer's side.
  std::size_t freeCapacity() const;
  void push(std::string_view bytes);  // more than freeCapacity() is taken too: it has been read already
  void end();                         // that was all
  void fail();                        // the rest will not come
  bool isAbandoned() const { return abandoned_; }

  // The consumer's side.
  std::string_view front() const { return std::string_view(bytes_).substr(begin_); }
  void pop(std::size_t size);
  void abandon();  // nobody takes the rest
  bool isComplete() const { return ended_ && front().empty(); }
  bool hasFailed() const { return failed_; }

  bool hasEnded() const { return ended_; }
  // Of all that came, what has gone on: over 0, the body can't be sent anew.
  std::uint64_t forwardedBytes() const { return forwardedBytes_; }

 private:
  void notify(const std::function<void()>& side) const {
    if (side) side();
  }

  ByteBudget::Share share_;
  std::size_t capacity_ = kMinCapacity;
  std::string bytes_;
  std::size_t begin_ = 0;  // what stands before has gone on
  std::uint64_t forwardedBytes_ = 0;
  bool ended_ = false, failed_ = false, abandoned_ = false;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIPE_H_
