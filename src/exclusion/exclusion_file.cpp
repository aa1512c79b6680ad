// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "exclusion/exclusion_file.h"

#include <fcntl.h>

#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include "exclusion/error.h"

namespace ivypost::exclusion {
namespace {

// JSON escapes a byte of an id to at most 6 bytes (\u0000); the rest of an entry (quotes, a time) takes at
// most 32.
constexpr std::size_t kMaxEntryText = 6 * ExclusionSet::kMaxIdLength + 32;
// The file holds the excluded ids and the included ids.
constexpr std::size_t kMaxText = 2 * ExclusionSet::kMaxEntries * kMaxEntryText;
// Bytes per read, usually the complete file. A buffer for the largest file would take a tenth of a small
// sidecar's memory.
constexpr std::size_t kReadSize = 4096;
// Number of files written for one change. A failed sync may concern only that file's pages, so a second file
// is written. If that fails too, the disk is taken to be faulty, and the event loop is not blocked any
// longer.
constexpr int kWritesPerChange = 2;
constexpr mode_t kOwnerOnly = 0600;

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

// Stops reading beyond kMaxText, since a file that is too large is rejected anyway.
Result<std::string> readAll(FileOperations& files, int file) {
  std::string text;
  std::array<char, kReadSize> piece{};
  while (text.size() <= kMaxText) {
    const ssize_t size = files.read(file, piece.data(), piece.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return lastError();
    if (size == 0) break;
    text.append(piece.data(), static_cast<std::size_t>(size));
  }
  return text;
}

Result<ExclusionSet> parseStored(const std::string& text) {
  if (text.empty()) return Error::Empty;
  if (text.size() > kMaxText) return Error::TooLarge;
  return ExclusionSet::parse(text);
}

bool isSameTime(const timespec& a, const timespec& b) {
  return a.tv_sec == b.tv_sec && a.tv_nsec == b.tv_nsec;
}

// The file's times are compared for equality only, so that a step of the clock in either direction hides no
// change.
bool isSameVersion(const struct stat& a, const struct stat& b) {
  return a.st_dev == b.st_dev && a.st_ino == b.st_ino && a.st_size == b.st_size &&
         isSameTime(a.st_mtim, b.st_mtim) && isSameTime(a.st_ctim, b.st_ctim);
}

bool mustBeStored(Outcome outcome) {
  // The set is written even if the outcome is Unchanged: the file may contain another process's change whose
  // sync has failed.
  return outcome == Outcome::Changed || outcome == Outcome::Unchanged;
}

}  // namespace

ExclusionFile::ExclusionFile(std::string folder, Log log, FileOperations& files)
    : folder_(std::move(folder)), log_(std::move(log)), files_(files) {
  if (folder_.empty()) return;
  path_ = folder_ + "/ivypost-excluded.json";
  if (files_.checkWritable(folder_.c_str()) == 0) return;
  log_("exclusions can't be changed, the folder can't be written to: " + folder_ + ": " +
       lastError().message());
}

std::optional<ExclusionSet> ExclusionFile::readIfChanged() {
  const bool isFirstRead = !std::exchange(hasRead_, true);
  if (path_.empty() || !mayHaveChanged()) return std::nullopt;
  // A change that another process is writing may still be reverted, so the file is not read while locked. The
  // first read ignores the lock, since earlier exclusions must be in force from the first request on.
  const auto lock = tryLock(LockMode::Shared);
  if (!isFirstRead && lock.error() == Error::Locked) return std::nullopt;
  auto stored = load();
  if (!stored) {
    logReadFailure(stored.error());
    return std::nullopt;
  }
  auto [version, text] = std::move(stored).value();
  seen_ = std::move(version);
  restoreTo_.reset();
  hasLoggedReadFailure_ = false;
  auto set = parseStored(text);
  if (set) return std::move(set).value();
  log_("the file of excluded upstreams is left alone: " + set.error().message());
  return std::nullopt;
}

Result<Outcome> ExclusionFile::apply(ExclusionSet& current, const Change& change) {
  if (path_.empty()) return Error::NoFolder;
  const auto lock = tryLock(LockMode::Exclusive);
  if (!lock) return lock.error();
  const auto before = contentBeforeChange();
  if (!before) return before.error();
  ExclusionSet next = current;
  if (before.value()) {
    if (auto stored = parseStored(*before.value()))
      next = std::move(stored).value();
    else
      log_("the file of excluded upstreams is replaced: " + stored.error().message());
  }
  const Outcome outcome = next.apply(change);
  if (mustBeStored(outcome)) {
    if (const auto error = replace(next.serialize(), before.value())) return error;
  }
  current = std::move(next);
  return outcome;
}

// The lock is held until the returned descriptor is closed.
Result<Descriptor> ExclusionFile::tryLock(LockMode mode) {
  const std::string path = path_ + ".lock";
  const int flags = mode == LockMode::Exclusive ? O_RDWR | O_CREAT : O_RDONLY;
  Descriptor file(files_, files_.open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly));
  if (!file.isOpen()) return lastError();
  if (files_.tryLock(file.number(), mode) == 0) return file;
  if (errno == EWOULDBLOCK || errno == EINTR) return Error::Locked;
  return lastError();
}

Result<ExclusionFile::Version> ExclusionFile::openVersion() {
  Version version{{files_, files_.open(path_.c_str(), O_RDONLY | O_CLOEXEC, 0)}, {}};
  if (!version.file.isOpen() || ::fstat(version.file.number(), &version.status) != 0) return lastError();
  return version;
}

Result<ExclusionFile::Stored> ExclusionFile::load() {
  auto version = openVersion();
  if (!version) return version.error();
  auto text = readAll(files_, version.value().file.number());
  if (!text) return text.error();
  return Stored{std::move(version).value(), std::move(text).value()};
}

Result<ExclusionFile::Content> ExclusionFile::contentBeforeChange() {
  if (restoreTo_ && seen_ && isCurrent(*seen_)) return *restoreTo_;
  auto stored = load();
  if (stored) return Content(std::move(stored).value().text);
  if (stored.error() == std::errc::no_such_file_or_directory) return Content();
  return stored.error();
}

bool ExclusionFile::isCurrent(const Version& version) const {
  struct stat now {};
  return ::stat(path_.c_str(), &now) == 0 && isSameVersion(now, version.status);
}

bool ExclusionFile::mayHaveChanged() const {
  struct stat now {};
  if (::stat(path_.c_str(), &now) != 0) return errno != ENOENT;
  return !seen_ || !isSameVersion(now, seen_->status);
}

void ExclusionFile::logReadFailure(const std::error_code& error) {
  if (error == std::errc::no_such_file_or_directory || std::exchange(hasLoggedReadFailure_, true)) return;
  log_("the file of excluded upstreams can't be read, and is tried again: " + error.message());
}

std::error_code ExclusionFile::replace(const std::string& text, const Content& before) {
  bool isRenamed = false;
  Write last;
  for (int n = 0; n < kWritesPerChange; ++n) {
    last = write(text);
    isRenamed = isRenamed || last.isRenamed;
    if (!last.hasSyncFailed) break;
  }
  if (!last.error) {
    rememberVersion();
    restoreTo_.reset();
  } else if (isRenamed) {
    restore(before, last.error);
  }
  return last.error;
}

// Replaces the file by a new one.
ExclusionFile::Write ExclusionFile::write(const std::string& text) {
  Write write;
  // The folder is opened first: if it can't be opened, it can't be synced, and then the file must not be
  // renamed.
  const Descriptor folder(files_, files_.open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC, 0));
  if (!folder.isOpen()) {
    write.error = lastError();
    return write;
  }
  const std::string newPath = path_ + ".new";
  write.error = writeNewFile(newPath, text, write);
  if (!write.error && files_.rename(newPath.c_str(), path_.c_str()) != 0) write.error = lastError();
  if (write.error) {
    files_.unlink(newPath.c_str());
    return write;
  }
  write.isRenamed = true;
  // EINVAL is ignored: the file system does not support syncing folders.
  if (files_.sync(folder.number()) != 0 && errno != EINVAL) {
    write.error = lastError();
    write.hasSyncFailed = true;
  }
  return write;
}

// Creates a file with this content and syncs it.
std::error_code ExclusionFile::writeNewFile(const std::string& path, const std::string& text, Write& write) {
  files_.unlink(path.c_str());  // left behind by a process that was killed
  Descriptor file(files_, files_.open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly));
  if (!file.isOpen()) return lastError();
  if (const auto error = writeAll(files_, file.number(), text)) return error;
  if (files_.sync(file.number()) != 0) {
    write.hasSyncFailed = true;
    return lastError();
  }
  return file.close() ? std::error_code() : lastError();
}

// Restores the earlier content of a file that contains a change which is going to be reported as failed.
void ExclusionFile::restore(const Content& before, const std::error_code& cause) {
  std::error_code error;
  if (before) {
    const Write restored = write(*before);
    if (!restored.isRenamed) error = restored.error;
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

// Records the present version of the file as seen, so that readIfChanged() does not read it.
void ExclusionFile::rememberVersion() {
  seen_.reset();
  if (auto version = openVersion()) seen_ = std::move(version).value();
}

}  // namespace ivypost::exclusion
