// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_EXCLUSION_FILE_H_
#define IVYPOST_EXCLUSION_EXCLUSION_FILE_H_

#include <sys/stat.h>

#include <functional>
#include <optional>
#include <string>
#include <system_error>

#include "exclusion/descriptor.h"
#include "exclusion/exclusion_set.h"
#include "exclusion/file_operations.h"
#include "exclusion/result.h"

namespace ivypost::exclusion {

/// The set of excluded endpoints as a file that outlives its process, and that two processes share while one
/// replaces the other.
///
/// Invariant: the file holds a whole set at each moment, the one before a change or the one after it. A
/// change that was reported as made is on the disk, file and folder entry. One that was reported as failed is
/// not in force in this process, and the file has its earlier content back. Only where that can't be restored
/// either, which is logged, may a process that starts later find the change in force. The file's order of
/// changes is that of its lock; no clock counts. A process that can't read the file goes on with the set that
/// it has.
///
/// Each write makes a new file, syncs it, renames it and syncs the folder, under a lock that excludes other
/// writers and, but for a process's first read, readers. After a failed sync the pages may be lost though a
/// second sync of the descriptor succeeds (fsync(2), errors), so the set is written once more into another
/// file instead.
///
/// No call waits for the lock. Writes and syncs do wait for the disk.
class ExclusionFile {
 public:
  /// Takes one line without its end.
  using Log = std::function<void(const std::string&)>;

  /// `folder`: where `ivypost-excluded.json` and its lock are kept; empty if there is none, and then all
  /// changes fail. `log` gets one line for each fault, the first here if the folder can't be written to.
  /// `files` must outlive this object.
  ExclusionFile(std::string folder, Log log, FileOperations& files = systemFiles());

  /// The stored set, if it may differ from what was read or written last. None: nothing new, another process
  /// is writing, or the file can't be read. The last is logged once for each such file; a file whose read
  /// failed is read again by the next call, one with invalid content is not.
  [[nodiscard]] std::optional<ExclusionSet> readIfChanged();

  /// Makes one change of the stored set, and stores it durably before it returns. `current` stands for a file
  /// that does not exist or whose content is invalid, and becomes the stored set. An outcome other than
  /// Changed or Unchanged writes nothing.
  ///
  /// Errors: Error::NoFolder, Error::Locked, or one of the operating system; then `current` is as it was.
  Result<Outcome> apply(ExclusionSet& current, const Change& change);

 private:
  /// A version of the file. Held open, so that no later version gets the number of its inode.
  struct Version {
    Descriptor file;
    struct stat status {};
  };
  struct Stored {
    Version version;
    std::string text;
  };
  /// The text of the file; none: there is no file.
  using Content = std::optional<std::string>;
  struct Write {
    std::error_code error;
    bool isRenamed = false;
    bool hasSyncFailed = false;
  };

  Result<Descriptor> tryLock(LockMode mode);
  Result<Version> openVersion();
  Result<Stored> load();
  Result<Content> contentBeforeChange();
  [[nodiscard]] bool isCurrent(const Version& version) const;
  [[nodiscard]] bool mayHaveChanged() const;
  void logReadFailure(const std::error_code& error);
  [[nodiscard]] std::error_code replace(const std::string& text, const Content& before);
  Write write(const std::string& text);
  [[nodiscard]] std::error_code writeNewFile(const std::string& path, const std::string& text, Write& write);
  void restore(const Content& before, const std::error_code& cause);
  void rememberVersion();

  std::string folder_;
  std::string path_;  // empty: there is no folder
  Log log_;
  FileOperations& files_;
  std::optional<Version> seen_;  // read or written last
  // Where seen_ holds a change that was reported as failed: what that replaced.
  std::optional<Content> restoreTo_;
  bool hasRead_ = false;
  bool hasLoggedReadFailure_ = false;
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_EXCLUSION_FILE_H_
