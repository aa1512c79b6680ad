// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_EXCLUSION_FILE_H_
#define IVYPOST_EXCLUSION_EXCLUSION_FILE_H_

#include <sys/stat.h>

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "exclusion/exclusion_set.h"
#include "exclusion/file_operations.h"

namespace ivypost::exclusion {

/// Why a change was not made, beside errors of the operating system (std::generic_category()).
enum class ExclusionError {
  NoFolder = 1,  ///< there is no folder to keep the file in
  Busy,          ///< the other process holds the lock; try again later
};

std::error_code make_error_code(ExclusionError error);

/// A file descriptor, closed with its owner.
class Descriptor {
 public:
  Descriptor() = default;
  Descriptor(FileOperations& files, int number) : files_(&files), number_(number) {}
  Descriptor(Descriptor&& other) noexcept : files_(other.files_), number_(std::exchange(other.number_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(files_, other.files_);
    std::swap(number_, other.number_);
    return *this;
  }
  ~Descriptor() { finish(); }

  int number() const { return number_; }
  bool open() const { return number_ >= 0; }
  /// Closes it now; false if that failed, with errno set. Harmless if it is not open.
  bool finish() { return !open() || files_->close(std::exchange(number_, -1)) == 0; }

 private:
  FileOperations* files_ = nullptr;
  int number_ = -1;
};

/// The set of excluded upstreams as a file that outlives its process, and that two processes change while one
/// replaces the other.
///
/// Invariant: the file holds a whole set at each moment, the one before a change or the one after it. A
/// change that was reported as made is on the disk, file and folder entry. One that was reported as failed is
/// not in force in this process, and the file has its earlier content back. Only where that can't be restored
/// either, which is logged, may a process that starts later find the change in force.
///
/// Each write makes a new file, syncs it, renames it and syncs the folder, under a lock that excludes other
/// writers and, but for a process's first read, readers. After a failed sync the pages may be lost though a
/// second sync of the descriptor succeeds, so the set is written once more into another file instead.
///
/// No call waits for the lock. Syncs and writes do wait for the disk.
class ExclusionFile {
 public:
  /// `folder`: empty if there is none, and then nothing can be kept. `log` gets one line for each trouble,
  /// the first here if the folder can't be written to. `files` must outlive this object.
  ExclusionFile(std::string folder, std::function<void(const std::string&)> log,
                FileOperations& files = systemFiles());

  /// What it says now, if that may differ from what was read or written last. None: nothing new, another
  /// process is writing, or it can't be read. The last is logged once for each such file; a file whose read
  /// failed is read again by the next call, one with bad content is not.
  std::optional<ExclusionSet> read();

  /// Reads, lets `change` change it, and writes it durably before it returns. `change` returns whether there
  /// is anything to write, and is not called after a failure to lock or read. `current` stands for a file
  /// whose content is bad, and gets what was written. After an error `current` is as it was;
  /// ExclusionError::Busy means that nothing was tried.
  [[nodiscard]] std::error_code change(ExclusionSet& current,
                                       const std::function<bool(ExclusionSet&)>& change);

 private:
  struct Lock {
    Descriptor file;
    std::error_code error;
  };
  /// A version of the file. Held open, so that no later version gets its inode's number.
  struct Version {
    Descriptor file;
    struct stat status {};
  };

  using Content = std::optional<std::string>;  // none: there is no file
  struct Written {
    std::error_code error;
    bool renamed = false;
    bool syncFailed = false;
  };

  Lock tryLock(int operation);
  std::error_code openVersion(std::optional<Version>& version);
  std::error_code content(Content& text);
  bool isSeen() const;
  std::error_code replace(const std::string& text, const Content& before);
  Written write(const std::string& text);
  void restore(const Content& before, const std::error_code& cause);
  void rememberVersion();

  std::string folder_, path_;  // empty: none
  std::function<void(const std::string&)> log_;
  FileOperations& files_;
  std::optional<Version> seen_;
  // Where seen_ holds a change that was reported as failed: what that replaced.
  std::optional<Content> restoreTo_;
  bool hasRead_ = false;
  bool hasLoggedFailure_ = false;
};

}  // namespace ivypost::exclusion

template <>
struct std::is_error_code_enum<ivypost::exclusion::ExclusionError> : std::true_type {};

#endif  // IVYPOST_EXCLUSION_EXCLUSION_FILE_H_
