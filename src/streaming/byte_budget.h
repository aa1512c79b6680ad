// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The bytes that all bodies in transit may hold in this process. Guards the memory limit against many large
// bodies at once. Nobody waits for it: whoever gets nothing makes do with the least that a pipe holds, so
// that what has begun can always finish.
#ifndef IVYPOST_STREAMING_BYTE_BUDGET_H_
#define IVYPOST_STREAMING_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace ivypost::streaming {

class ByteBudget {
 public:
  explicit ByteBudget(std::size_t bytes) : account_(std::make_shared<Account>(Account{bytes, 0})) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  std::size_t bytes() const { return account_->bytes; }
  std::size_t inUse() const { return account_->inUse; }

 private:
  struct Account {
    std::size_t bytes = 0, inUse = 0;
  };

 public:
  // A part of it, given back when it goes; it may outlive the budget, as connections do in the loop's
  // handlers.
  class Share {
   public:
    explicit Share(const ByteBudget& budget) : account_(budget.account_) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { release(); }

    // Grows by `bytes`, or not at all.
    bool grow(std::size_t bytes) {
      if (bytes > account_->bytes - account_->inUse) return false;
      account_->inUse += bytes;
      bytes_ += bytes;
      return true;
    }
    void release() { account_->inUse -= std::exchange(bytes_, 0); }
    std::size_t bytes() const { return bytes_; }

   private:
    std::shared_ptr<Account> account_;
    std::size_t bytes_ = 0;
  };

 private:
  std::shared_ptr<Account> account_;
};

}  // namespace ivypost::streaming

#endif  // IVYPOST_STREAMING_BYTE_BUDGET_H_
