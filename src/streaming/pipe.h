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

/// A bounded buffer for a body that is streamed from one connection to another. Performs no I/O: the producer
/// reads as many bytes as there is free capacity, the consumer writes the bytes of front(), and each side is
/// notified of the other's changes. Not thread-safe.
///
/// Bounds memory by backpressure: with a slow consumer freeCapacity() becomes 0, the producer stops reading,
/// and its peer can't send more.
class Pipe {
 public:
  /// The capacity in bytes of a pipe that gets nothing from the budget: one read of a socket.
  static constexpr std::size_t kMinCapacity = 16UL * 1024;
  /// The capacity in bytes if the budget suffices: several reads and writes in flight.
  static constexpr std::size_t kPreferredCapacity = 128UL * 1024;

  /// Takes kPreferredCapacity from the budget until it is destroyed, or works with kMinCapacity if the budget
  /// has fewer bytes left.
  explicit Pipe(const ByteBudget& budget);
  Pipe(const Pipe&) = delete;
  Pipe(Pipe&&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  Pipe& operator=(Pipe&&) = delete;
  ~Pipe() = default;

  // Called after each change, from within the call that made it. The callbacks must not call the pipe.

  /// Notifies the consumer that bytes were added, or that the body has ended or failed. May be empty.
  std::function<void()> onData;
  /// Notifies the producer that bytes were consumed or the body was abandoned. May be empty.
  std::function<void()> onCapacity;

  /// For the producer: the bytes that it may read now; 0 also after end(), fail() or abandon().
  [[nodiscard]] std::size_t freeCapacity() const;
  /// For the producer: appends bytes. Accepts more than freeCapacity(), since the bytes have been read
  /// already. Bytes after an abandonment or a failure are dropped.
  void push(std::string_view bytes);
  /// For the producer: marks the body as complete.
  void end();
  /// For the producer: marks the body as failed; the rest will not be received. Does nothing after end().
  void fail();
  /// For the producer: whether the consumer has called abandon().
  [[nodiscard]] bool isAbandoned() const { return abandoned_; }

  /// For the consumer: the bytes to be forwarded next; valid until the pipe is changed.
  [[nodiscard]] std::string_view front() const { return std::string_view(bytes_).substr(begin_); }
  /// For the consumer: removes the first `size` bytes of front(), which have been forwarded.
  void pop(std::size_t size);
  /// For the consumer: accepts no more bytes.
  void abandon();
  /// For the consumer: whether the body has ended and all its bytes have been forwarded.
  [[nodiscard]] bool isComplete() const { return ended_ && front().empty(); }
  /// For the consumer: whether the body has failed; front() may still hold bytes.
  [[nodiscard]] bool hasFailed() const { return failed_; }

  /// The bytes that have been forwarded. If above 0, the body can't be resent.
  [[nodiscard]] std::uint64_t forwardedBytes() const { return forwardedBytes_; }

 private:
  static void notify(const std::function<void()>& side) {
    if (side) side();
  }

  ByteBudget::Share share_;
  std::size_t capacity_ = kMinCapacity;
  std::string bytes_;
  std::size_t begin_ = 0;  // the bytes before this index have been forwarded
  std::uint64_t forwardedBytes_ = 0;
  bool ended_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIPE_H_
