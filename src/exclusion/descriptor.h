// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_DESCRIPTOR_H_
#define IVYPOST_EXCLUSION_DESCRIPTOR_H_

#include <utility>

#include "exclusion/file_operations.h"

namespace ivypost::exclusion {

/// Owns a file descriptor and closes it at its end, which also lets go of a lock on it.
class Descriptor {
 public:
  /// `number`: what open() returned; negative: none. `files` must outlive this object.
  Descriptor(FileOperations& files, int number) : files_(&files), number_(number) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  /// Takes the descriptor over; `other` is not open afterwards.
  Descriptor(Descriptor&& other) noexcept : files_(other.files_), number_(std::exchange(other.number_, -1)) {}
  /// Exchanges the two, so that what this object had is closed at the end of `other`.
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(files_, other.files_);
    std::swap(number_, other.number_);
    return *this;
  }
  ~Descriptor() {
    if (isOpen()) files_->close(number_);
  }

  /// Whether there is a descriptor to close: false after a failed open(), close() or a move.
  [[nodiscard]] bool isOpen() const { return number_ >= 0; }
  /// Negative if it is not open.
  [[nodiscard]] int number() const { return number_; }
  /// Closes it now. False, with errno set, if that failed; it is closed all the same. It has to be open.
  [[nodiscard]] bool close() { return files_->close(std::exchange(number_, -1)) == 0; }

 private:
  FileOperations* files_;
  int number_;
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_DESCRIPTOR_H_
