// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_EXCLUSION_FILE_OPERATIONS_H_
#define IVYPOST_EXCLUSION_FILE_OPERATIONS_H_

#include <sys/types.h>

#include <cstddef>

namespace ivypost::exclusion {

/// The system calls that change or read the stored file, with POSIX's results and errno. The defaults make
/// the calls; a test overrides them to fail one, or to end the process behind one.
class FileOperations {
 public:
  FileOperations() = default;
  FileOperations(const FileOperations&) = delete;
  FileOperations& operator=(const FileOperations&) = delete;
  virtual ~FileOperations() = default;

  virtual int open(const char* path, int flags, mode_t mode);
  virtual ssize_t read(int file, void* bytes, std::size_t size);
  virtual ssize_t write(int file, const void* bytes, std::size_t size);
  /// fsync(2), of a file or a folder.
  virtual int sync(int file);
  virtual int close(int file);
  virtual int rename(const char* from, const char* to);
  virtual int unlink(const char* path);
  /// flock(2) without waiting; `operation` is LOCK_EX or LOCK_SH.
  virtual int tryLock(int file, int operation);
  /// access(2) for writing.
  virtual int writable(const char* path);
};

/// The operating system's calls. Never destroyed.
FileOperations& systemFiles();

}  // namespace ivypost::exclusion

#endif  // IVYPOST_EXCLUSION_FILE_OPERATIONS_H_
