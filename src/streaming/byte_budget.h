// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_STREAMING_BYTE_BUDGET_H_
#define IVYPOST_STREAMING_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace ivypost::streaming {

/// The bytes that all bodies in transit may hold in this process. Guards the memory limit against many large
/// bodies at once. Nobody waits for it: whoever gets nothing makes do with the least that a pipe holds, so
/// that what has begun can always finish. Of one thread.
class ByteBudget {
 private:
  struct Account {
    std::size_t capacity = 0;
    std::size_t inUse = 0;
  };

 public:
  /// A budget of `capacity` bytes, none of them in use; 0: nobody gets any.
  explicit ByteBudget(std::size_t capacity) : account_(std::make_shared<Account>(Account{capacity, 0})) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget(ByteBudget&&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;
  ByteBudget& operator=(ByteBudget&&) = delete;
  ~ByteBudget() = default;

  /// Bytes that may be in use; never exceeded.
  [[nodiscard]] std::size_t capacity() const { return account_->capacity; }
  /// Bytes of all shares.
  [[nodiscard]] std::size_t inUse() const { return account_->inUse; }

  /// What one body has of the budget, given back when it goes. It may outlive the budget, as connections do
  /// in the event loop's handlers.
  class Share {
   public:
    /// A share of no bytes.
    explicit Share(const ByteBudget& budget) : account_(budget.account_) {}
    Share(const Share&) = delete;
    Share(Share&&) = delete;
    Share& operator=(const Share&) = delete;
    Share& operator=(Share&&) = delete;
    ~Share() { release(); }

    /// Grows by `bytes`; false: there are not so many left, and it stays as it was.
    [[nodiscard]] bool grow(std::size_t bytes) {
      if (bytes > account_->capacity - account_->inUse) return false;
      account_->inUse += bytes;
      bytes_ += bytes;
      return true;
    }
    /// Gives back all bytes; the share may grow again.
    void release() { account_->inUse -= std::exchange(bytes_, 0); }
    /// Bytes of this share.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

   private:
    // Shared, since a share may outlive the budget.
    std::shared_ptr<Account> account_;
    std::size_t bytes_ = 0;
  };

 private:
  std::shared_ptr<Account> account_;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_BYTE_BUDGET_H_
