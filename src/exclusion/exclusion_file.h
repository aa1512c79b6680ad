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

/// Stores the set of excluded endpoints in a file that persists across processes and is shared by two
/// processes while one replaces the other.
///
/// Invariant: at any time the file holds a complete set, either the one before a change or the one after it.
/// A change that was reported as made is durable: both the file and its folder entry are synced. A change
/// that was reported as failed is not in force in this process, and the file's earlier content has been
/// restored. If restoring fails too, that is logged, and a process that starts later may apply the change.
/// The order of changes is determined by the lock and not by a clock. A process that can't read the file
/// keeps the set that it has.
///
/// Each write creates a new file, syncs it, renames it and syncs the folder, under a lock that excludes other
/// writers and also readers, except for a process's first read. After a failed sync the pages may be lost
/// although a second sync of the descriptor succeeds (fsync(2), errors), so the set is written again into
/// another file instead.
///
/// No call waits for the lock. Writes and syncs block on the disk.
class ExclusionFile {
 public:
  /// Takes one log line without a line end.
  using Log = std::function<void(const std::string&)>;

  /// `folder`: the folder of `ivypost-excluded.json` and its lock file; empty if there is none, and then all
  /// changes fail. `log` receives one line per fault, the first one here if the folder is not writable.
  /// `files` must outlive this object.
  ExclusionFile(std::string folder, Log log, FileOperations& files = systemFiles());

  /// Returns the stored set if the file may differ from what was read or written last. Empty: the file has
  /// not changed, another process is writing it, or it can't be read. The last case is logged once per file;
  /// a file whose read failed is read again by the next call, one with invalid content is not.
  [[nodiscard]] std::optional<ExclusionSet> readIfChanged();

  /// Applies one change to the stored set and makes it durable before returning. If the file does not exist
  /// or its content is invalid, the change is applied to `current` instead. On success `current` is the
  /// stored set. Writes nothing if the outcome is neither Changed nor Unchanged.
  ///
  /// Errors: Error::NoFolder, Error::Locked, or one of the operating system; `current` is unchanged then.
  Result<Outcome> apply(ExclusionSet& current, const Change& change);

 private:
  /// A version of the file. It is kept open so that its inode number is not reused for a later version.
  struct Version {
    Descriptor file;
    struct stat status {};
  };
  struct Stored {
    Version version;
    std::string text;
  };
  /// The text of the file; empty: the file does not exist.
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
  std::string path_;  // empty: no folder is configured
  Log log_;
  FileOperations& files_;
  std::optional<Version> seen_;  // version that was read or written last
  // Set if seen_ contains a change that was reported as failed: the content before that change.
  std::optional<Content> restoreTo_;
  bool hasRead_ = false;
  bool hasLoggedReadFailure_ = false;
};

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_EXCLUSION_FILE_H_
