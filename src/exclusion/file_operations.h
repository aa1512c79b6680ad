// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_FILE_OPERATIONS_H_
#define IVYPOST_EXCLUSION_FILE_OPERATIONS_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace ivypost::exclusion {

/// Who else may hold a file's lock at the same time.
enum class LockMode : std::uint8_t {
  Shared,     ///< other readers
  Exclusive,  ///< nobody
};

/// The system calls that change or read the stored file, with POSIX's results and errno. The defaults make
/// the calls; a test overrides them to fail one, or to end the process behind one.
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
  /// flock(2) without waiting: fails with EWOULDBLOCK.
  virtual int tryLock(int file, LockMode mode);
  /// access(2) for writing.
  virtual int checkWritable(const char* path);
};

/// The operating system's calls. Lives as long as the process.
[[nodiscard]] FileOperations& systemFiles();

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_FILE_OPERATIONS_H_
