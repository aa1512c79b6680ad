// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_PIPE_H_
#define IVYPOST_STREAMING_PIPE_H_

#include <algorithm>
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
  /// The capacity in bytes of a pipe that gets nothing from the budget: one small read of a socket.
  static constexpr std::size_t kMinCapacity = 2UL * 1024;
  /// The capacity in bytes if the budget suffices: several reads and writes in flight.
  static constexpr std::size_t kPreferredCapacity = 128UL * 1024;
  /// The most bytes that are copied from or into a pipe at once.
  static constexpr std::size_t kMaxPieceSize = 16UL * 1024;
  /// Bytes that a pipe takes from the budget for its preferred capacity: its storage, and pieces that are
  /// copied into and from it: as read, as parsed and as written.
  static constexpr std::size_t kPreferredCost =
      kPreferredCapacity + kPreferredCapacity / 4 + 3 * kMaxPieceSize;
  /// The most bytes that a pipe without budget stores: a quarter more than its capacity.
  static constexpr std::size_t kMinStorage = kMinCapacity + kMinCapacity / 4;
  /// The capacity up to which extend() works.
  static constexpr std::size_t kMaxExtendedCapacity = 2048UL * 1024;

  /// Takes kPreferredCost from the budget until it is destroyed, or works with kMinCapacity if the budget
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
  /// For the producer: takes over the bytes of a buffer, and the budget that it holds for them, until the
  /// consumer has forwarded enough for the pipe's own capacity. Requires an empty pipe.
  void pushBuffer(std::string bytes, ByteBudget::Share& budget);
  /// For the producer: makes room for at least `bytes` more than the pipe holds, from the budget, until the
  /// consumer has forwarded enough for the pipe's own capacity. Returns false, and changes nothing, if the
  /// budget or kMaxExtendedCapacity does not suffice.
  [[nodiscard]] bool extend(std::size_t bytes);
  /// The most bytes that should be copied from or into the pipe at once: buffers of this size are included in
  /// what the pipe takes from the budget.
  [[nodiscard]] std::size_t pieceSize() const { return std::min(capacity_, kMaxPieceSize); }
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

  [[nodiscard]] std::size_t storageLimit() const { return limit_ + limit_ / 4; }
  void ensureStorage(std::size_t bytes);
  void endExtension();

  ByteBudget::Share share_;
  ByteBudget::Share extension_;          // for storage beyond the pipe's own capacity
  std::size_t capacity_ = kMinCapacity;  // the pipe's own
  std::size_t limit_ = kMinCapacity;     // the capacity including an extension
  std::string bytes_;
  std::size_t begin_ = 0;  // the bytes before this index have been forwarded
  std::uint64_t forwardedBytes_ = 0;
  bool ended_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_PIPE_H_
