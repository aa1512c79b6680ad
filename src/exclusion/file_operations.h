// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_FILE_OPERATIONS_H_
#define IVYPOST_EXCLUSION_FILE_OPERATIONS_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace ivypost::exclusion {

/// Which other holders a file's lock allows at the same time.
enum class LockMode : std::uint8_t {
  Shared,     ///< other shared locks
  Exclusive,  ///< none
};

/// The system calls that read or change the stored file, with POSIX's results and errno. The default
/// implementations make the calls; tests override them to inject failures, or to end the process after a
/// call.
class FileOperations {
 public:
  FileOperations() = default;
  FileOperations(const FileOperations&) = delete;
  FileOperations& operator=(const FileOperations&) = delete;
  FileOperations(FileOperations&&) = delete;
  FileOperations& operator=(FileOperations&&) = delete;
  virtual ~FileOperations() = default;

  /// open(2).
  virtual int open(const char* path, int flags, mode_t mode);
  /// read(2).
  virtual ssize_t read(int file, void* bytes, std::size_t size);
  /// write(2).
  virtual ssize_t write(int file, const void* bytes, std::size_t size);
  /// fsync(2), of a file or a folder.
  virtual int sync(int file);
  /// close(2).
  virtual int close(int file);
  /// rename(2).
  virtual int rename(const char* from, const char* to);
  /// unlink(2).
  virtual int unlink(const char* path);
  /// flock(2) without waiting; fails with EWOULDBLOCK if the lock is held.
  virtual int tryLock(int file, LockMode mode);
  /// access(2) with W_OK.
  virtual int checkWritable(const char* path);
};

/// The operating system's calls. The object has static storage duration.
[[nodiscard]] FileOperations& systemFiles();

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_FILE_OPERATIONS_H_
