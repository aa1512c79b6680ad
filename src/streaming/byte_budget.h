// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_BYTE_BUDGET_H_
#define IVYPOST_STREAMING_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace ivypost::streaming {

/// The memory budget, in bytes, of all bodies in transit in this process. Keeps the process within its memory
/// limit when many large bodies are in transit. Nothing waits for the budget: a pipe that gets no bytes from
/// it works with its minimum capacity, so that a transfer that has begun can always be completed. Not
/// thread-safe.
class ByteBudget {
 private:
  struct Account {
    std::size_t capacity = 0;
    std::size_t inUse = 0;
  };

 public:
  /// A budget of `capacity` bytes, none of them in use; with 0, no share can grow.
  explicit ByteBudget(std::size_t capacity) : account_(std::make_shared<Account>(Account{capacity, 0})) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget(ByteBudget&&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;
  ByteBudget& operator=(ByteBudget&&) = delete;
  ~ByteBudget() = default;

  /// The most bytes that can be in use.
  [[nodiscard]] std::size_t capacity() const { return account_->capacity; }
  /// The sum of the bytes of all shares; at most capacity().
  [[nodiscard]] std::size_t inUse() const { return account_->inUse; }

  /// The part of the budget that one body uses, returned on destruction. A share may outlive the budget,
  /// since handlers that are queued in the event loop keep connections alive.
  class Share {
   public:
    /// Creates an empty share of `budget`.
    explicit Share(const ByteBudget& budget) : account_(budget.account_) {}
    Share(const Share&) = delete;
    Share(Share&&) = delete;
    Share& operator=(const Share&) = delete;
    Share& operator=(Share&&) = delete;
    ~Share() { release(); }

    /// Grows by `bytes`. Returns false, and changes nothing, if the budget has fewer bytes left.
    [[nodiscard]] bool grow(std::size_t bytes) {
      if (bytes > account_->capacity - account_->inUse) return false;
      account_->inUse += bytes;
      bytes_ += bytes;
      return true;
    }
    /// Grows to at least `bytes`. Returns false, and changes nothing, if the budget has too few bytes left.
    [[nodiscard]] bool growTo(std::size_t bytes) { return bytes <= bytes_ || grow(bytes - bytes_); }
    /// Returns what exceeds `bytes` to the budget.
    void shrinkTo(std::size_t bytes) {
      if (bytes >= bytes_) return;
      account_->inUse -= bytes_ - bytes;
      bytes_ = bytes;
    }
    /// Takes over all bytes of another share of the same budget.
    void takeFrom(Share& other) { bytes_ += std::exchange(other.bytes_, 0); }
    /// Returns all bytes to the budget. The share may grow again.
    void release() { shrinkTo(0); }
    /// The bytes that this share holds.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

   private:
    // Shared ownership, since a share may outlive the budget.
    std::shared_ptr<Account> account_;
    std::size_t bytes_ = 0;
  };

 private:
  std::shared_ptr<Account> account_;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_BYTE_BUDGET_H_
