// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/exclusion_file.h"

#include <fcntl.h>
#include <sys/file.h>

#include <cerrno>
#include <stdexcept>
#include <string_view>

namespace ivypost::exclusion {
namespace {

// No set that parse() takes is larger.
constexpr std::size_t kMaxText = 2 * ExclusionSet::kMaxEntries * (6 * ExclusionSet::kMaxIdLength + 32);
// Files written for one change. A failed sync may be a matter of that file's pages, so one more is written;
// if that fails too the disk is at fault, and the event loop has waited for it long enough.
constexpr int kWritesPerChange = 2;
constexpr mode_t kOwnerOnly = 0600;

class ExclusionErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "ivypost.exclusion"; }
  std::string message(int value) const override {
    switch (static_cast<ExclusionError>(value)) {
      case ExclusionError::NoFolder:
        return "there is no folder for it";
      case ExclusionError::Busy:
        return "the other process holds the file";
    }
    return "unknown error";
  }
};

std::error_code lastError() {
  return {errno, std::generic_category()};
}

std::error_code writeAll(FileOperations& files, int file, std::string_view text) {
  while (!text.empty()) {
    const ssize_t size = files.write(file, text.data(), text.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return lastError();
    if (size == 0) return std::make_error_code(std::errc::no_space_on_device);
    text.remove_prefix(static_cast<std::size_t>(size));
  }
  return {};
}

// At most kMaxText + 1 bytes: one more than a good file has.
std::error_code readAll(FileOperations& files, int file, std::string& text) {
  text.assign(kMaxText + 1, '\0');
  std::size_t size = 0;
  while (size < text.size()) {
    const ssize_t got = files.read(file, text.data() + size, text.size() - size);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return lastError();
    if (got == 0) break;
    size += static_cast<std::size_t>(got);
  }
  text.resize(size);
  return {};
}

// Throws std::runtime_error, one line, for content that is none of ours.
ExclusionSet parsed(const std::string& text) {
  if (text.empty()) throw std::runtime_error("empty");
  if (text.size() > kMaxText) throw std::runtime_error("too large");
  return ExclusionSet::parse(text);
}

bool sameTime(const timespec& a, const timespec& b) {
  return a.tv_sec == b.tv_sec && a.tv_nsec == b.tv_nsec;
}

// Times are compared for being the same only, so that a step of the clock either way hides nothing.
bool sameVersion(const struct stat& a, const struct stat& b) {
  return a.st_dev == b.st_dev && a.st_ino == b.st_ino && a.st_size == b.st_size &&
         sameTime(a.st_mtim, b.st_mtim) && sameTime(a.st_ctim, b.st_ctim);
}

}  // namespace

std::error_code make_error_code(ExclusionError error) {
  static const ExclusionErrorCategory category;
  return {static_cast<int>(error), category};
}

ExclusionFile::ExclusionFile(std::string folder, std::function<void(const std::string&)> log,
                             FileOperations& files)
    : folder_(std::move(folder)), log_(std::move(log)), files_(files) {
  if (folder_.empty()) return;
  path_ = folder_ + "/ivypost-excluded.json";
  if (files_.writable(folder_.c_str()) != 0)
    log_("exclusions can't be changed, the folder can't be written to: " + folder_ + ": " +
         lastError().message());
}

// Closing the descriptor unlocks.
ExclusionFile::Lock ExclusionFile::tryLock(int operation) {
  const int flags = operation == LOCK_EX ? O_RDWR | O_CREAT : O_RDONLY;
  Lock lock{{files_, files_.open((path_ + ".lock").c_str(), flags | O_CLOEXEC, kOwnerOnly)}, {}};
  if (!lock.file.open()) {
    lock.error = lastError();
  } else if (files_.tryLock(lock.file.number(), operation) != 0) {
    lock.error = errno == EWOULDBLOCK || errno == EINTR ? make_error_code(ExclusionError::Busy) : lastError();
  }
  return lock;
}

std::error_code ExclusionFile::openVersion(std::optional<Version>& version) {
  Version found{{files_, files_.open(path_.c_str(), O_RDONLY | O_CLOEXEC, 0)}, {}};
  if (!found.file.open() || ::fstat(found.file.number(), &found.status) != 0) return lastError();
  version = std::move(found);
  return {};
}

bool ExclusionFile::isSeen() const {
  struct stat now {};
  return seen_ && ::stat(path_.c_str(), &now) == 0 && sameVersion(now, seen_->status);
}

std::optional<ExclusionSet> ExclusionFile::read() {
  const bool first = !std::exchange(hasRead_, true);
  struct stat found {};
  if (path_.empty() || isSeen() || (::stat(path_.c_str(), &found) != 0 && errno == ENOENT))
    return std::nullopt;
  const Lock lock = tryLock(LOCK_SH);
  // What another process is writing may yet be taken back. A process that starts takes what there is: an
  // earlier change must be in force from the first request on.
  if (!first && lock.error == ExclusionError::Busy) return std::nullopt;
  std::optional<Version> version;
  std::string text;
  std::error_code error = openVersion(version);
  if (!error) error = readAll(files_, version->file.number(), text);
  if (error) {
    if (error != std::errc::no_such_file_or_directory && !std::exchange(hasLoggedFailure_, true))
      log_("the file of excluded upstreams can't be read, and is tried again: " + error.message());
    return std::nullopt;
  }
  hasLoggedFailure_ = false;
  seen_ = std::move(version);
  restoreTo_.reset();
  try {
    return parsed(text);
  } catch (const std::runtime_error& bad) {
    log_("the file of excluded upstreams is left alone: " + std::string(bad.what()));
    return std::nullopt;
  }
}

std::error_code ExclusionFile::change(ExclusionSet& current,
                                      const std::function<bool(ExclusionSet&)>& change) {
  if (path_.empty()) return ExclusionError::NoFolder;
  const Lock lock = tryLock(LOCK_EX);
  if (lock.error) return lock.error;
  Content before;
  if (const auto error = content(before)) return error;
  ExclusionSet next = current;
  try {
    if (before) next = parsed(*before);
  } catch (const std::runtime_error& bad) {
    log_("the file of excluded upstreams is replaced: " + std::string(bad.what()));
  }
  if (change(next)) {
    if (const auto error = replace(next.serialize(), before)) return error;
  }
  current = std::move(next);
  return {};
}

// What the file holds; none if there is no file.
std::error_code ExclusionFile::content(Content& text) {
  if (restoreTo_ && isSeen()) {
    text = *restoreTo_;
    return {};
  }
  std::optional<Version> version;
  std::error_code error = openVersion(version);
  if (error == std::errc::no_such_file_or_directory) return {};
  if (!error) error = readAll(files_, version->file.number(), text.emplace());
  return error;
}

std::error_code ExclusionFile::replace(const std::string& text, const Content& before) {
  bool renamed = false;
  Written written;
  for (int n = 0; n < kWritesPerChange; ++n) {
    written = write(text);
    renamed = renamed || written.renamed;
    if (!written.error || !written.syncFailed) break;
  }
  if (!written.error) {
    rememberVersion();
    restoreTo_.reset();
  } else if (renamed) {
    restore(before, written.error);
  }
  return written.error;
}

// Writes a file of its own, syncs it and puts it in the place of the one there is.
ExclusionFile::Written ExclusionFile::write(const std::string& text) {
  const std::string fresh = path_ + ".new";
  files_.unlink(fresh.c_str());  // of a process that was killed
  // Opened first: what can't be opened can't be synced, and then nothing should be renamed.
  const Descriptor folder(files_, files_.open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC, 0));
  if (!folder.open()) return {lastError()};
  Descriptor file(files_, files_.open(fresh.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly));
  if (!file.open()) return {lastError()};
  Written written{writeAll(files_, file.number(), text)};
  if (!written.error && files_.sync(file.number()) != 0) written = {lastError(), false, true};
  if (!file.finish() && !written.error) written.error = lastError();
  if (!written.error && files_.rename(fresh.c_str(), path_.c_str()) != 0) written.error = lastError();
  if (written.error) {
    files_.unlink(fresh.c_str());
    return written;
  }
  written.renamed = true;
  // A file system that has no sync of folders says EINVAL: it has nothing to be kept that way.
  if (files_.sync(folder.number()) != 0 && errno != EINVAL) written = {lastError(), true, true};
  return written;
}

// The file holds a change that is going to be reported as failed: the earlier content is put back.
void ExclusionFile::restore(const Content& before, const std::error_code& cause) {
  std::error_code error;
  if (before) {
    const Written written = write(*before);
    if (!written.renamed) error = written.error;
  } else if (files_.unlink(path_.c_str()) != 0) {
    error = lastError();
  }
  if (!error) {
    log_("a change of the excluded upstreams could not be synced and is taken back: " + cause.message());
    return;
  }
  log_("a change of the excluded upstreams was reported as failed, but its file can't be restored: " +
       error.message());
  rememberVersion();
  restoreTo_ = before;
}

// The file as it is now holds nothing that this process has to read.
void ExclusionFile::rememberVersion() {
  seen_.reset();
  openVersion(seen_);
}

}  // namespace ivypost::exclusion
