// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_PIPE_H_
#define IVYPOST_STREAMING_PIPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "streaming/byte_budget.h"

namespace ivypost::streaming {

/// A body on its way from one connection to another: the bytes that have come and not gone on, and what
/// either side may do next. No I/O: a producer reads as much as there is capacity for, a consumer writes what
/// stands in front, and each is notified when the other has changed something. Of one thread.
///
/// Guards memory: a slow consumer makes freeCapacity() 0, so the producer stops reading and its peer stands
/// still (backpressure).
class Pipe {
 public:
  /// Bytes that a pipe holds whatever the budget says: one read of a socket.
  static constexpr std::size_t kMinCapacity = 16UL * 1024;
  /// Bytes that it holds if the budget gives them: several reads and writes on their way.
  static constexpr std::size_t kPreferredCapacity = 128UL * 1024;

  /// Takes its capacity from the budget, for as long as it lives.
  explicit Pipe(const ByteBudget& budget);
  Pipe(const Pipe&) = delete;
  Pipe(Pipe&&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  Pipe& operator=(Pipe&&) = delete;
  ~Pipe() = default;

  // Called after each change, from within the call that made it; they must not call the pipe from there.

  /// Notifies the consumer: there is more, or its end. May be empty.
  std::function<void()> onData;
  /// Notifies the producer: there is capacity, or nobody wants more. May be empty.
  std::function<void()> onCapacity;

  /// For the producer: bytes that it may read now; 0 also when nothing more is wanted.
  [[nodiscard]] std::size_t freeCapacity() const;
  /// For the producer: adds bytes. More than freeCapacity() is taken too, since it has been read already;
  /// what comes after an abandonment or a failure is dropped.
  void push(std::string_view bytes);
  /// For the producer: that was all.
  void end();
  /// For the producer: the rest will not come. Nothing after end().
  void fail();
  /// For the producer: whether the consumer wants no more.
  [[nodiscard]] bool isAbandoned() const { return abandoned_; }

  /// For the consumer: what is to be written next; valid until the pipe is changed.
  [[nodiscard]] std::string_view front() const { return std::string_view(bytes_).substr(begin_); }
  /// For the consumer: the first `size` bytes of front() have gone on.
  void pop(std::size_t size);
  /// For the consumer: it takes no more.
  void abandon();
  /// For the consumer: whether all bytes have come and gone on.
  [[nodiscard]] bool isComplete() const { return ended_ && front().empty(); }
  /// For the consumer: whether the rest will not come; front() may still have some.
  [[nodiscard]] bool hasFailed() const { return failed_; }

  /// Bytes that have gone on, of all that came: over 0, the body can't be sent anew.
  [[nodiscard]] std::uint64_t forwardedBytes() const { return forwardedBytes_; }

 private:
  static void notify(const std::function<void()>& side) {
    if (side) side();
  }

  ByteBudget::Share share_;
  std::size_t capacity_ = kMinCapacity;
  std::string bytes_;
  std::size_t begin_ = 0;  // bytes ahead of it have gone on
  std::uint64_t forwardedBytes_ = 0;
  bool ended_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIPE_H_
