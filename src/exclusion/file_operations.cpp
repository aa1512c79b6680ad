// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/file_operations.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdio>

namespace ivypost::exclusion {

int FileOperations::open(const char* path, int flags, mode_t mode) {
  return ::open(path, flags, mode);
}

ssize_t FileOperations::read(int file, void* bytes, std::size_t size) {
  return ::read(file, bytes, size);
}

ssize_t FileOperations::write(int file, const void* bytes, std::size_t size) {
  return ::write(file, bytes, size);
}

int FileOperations::sync(int file) {
  return ::fsync(file);
}

int FileOperations::close(int file) {
  return ::close(file);
}

int FileOperations::rename(const char* from, const char* to) {
  return std::rename(from, to);
}

int FileOperations::unlink(const char* path) {
  return ::unlink(path);
}

int FileOperations::tryLock(int file, LockMode mode) {
  return ::flock(file, (mode == LockMode::Exclusive ? LOCK_EX : LOCK_SH) | LOCK_NB);
}

int FileOperations::checkWritable(const char* path) {
  return ::access(path, W_OK);
}

FileOperations& systemFiles() {
  static FileOperations files;
  return files;
}

}  // namespace ivypost::exclusion
