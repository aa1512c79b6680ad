// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_DESCRIPTOR_H_
#define IVYPOST_EXCLUSION_DESCRIPTOR_H_

#include <utility>

#include "exclusion/file_operations.h"

namespace ivypost::exclusion {

/// Owns a file descriptor and closes it on destruction, which also releases a lock held on it.
class Descriptor {
 public:
  /// `number`: the result of open(); negative: there is no descriptor. `files` must outlive this object.
  Descriptor(FileOperations& files, int number) : files_(&files), number_(number) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  /// Takes ownership of the descriptor; `other` is not open afterwards.
  Descriptor(Descriptor&& other) noexcept : files_(other.files_), number_(std::exchange(other.number_, -1)) {}
  /// Swaps the descriptors, so that the destructor of `other` closes this object's former one.
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
  /// The descriptor; negative if it is not open.
  [[nodiscard]] int number() const { return number_; }
  /// Closes the descriptor, which must be open. Returns false with errno set if close(2) failed; the
  /// descriptor is not open afterwards in any case.
  [[nodiscard]] bool close() { return files_->close(std::exchange(number_, -1)) == 0; }

 private:
  FileOperations* files_;
  int number_;
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_DESCRIPTOR_H_
