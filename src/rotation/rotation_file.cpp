// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#include "rotation/rotation_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <thread>
#include <utility>

namespace ivypost::rotation {
namespace {

// No set that parse() takes is larger.
constexpr std::size_t kMaxText = 2 * Rotation::kMost * (6 * Rotation::kMaxId + 32);
// The other process holds the lock for some microseconds; the event loop waits for it so often, a millisecond
// each.
constexpr int kLockTries = 50;

// A descriptor that is closed when it goes.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  int number() const { return number_; }
  bool open() const { return number_ >= 0; }
  // Closes it now and tells whether all that was written is kept.
  bool finish() { return ::close(std::exchange(number_, -1)) == 0; }

 private:
  int number_;
};

std::string reason() {
  return std::strerror(errno);
}

bool writeAll(int file, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t size = ::write(file, text.data() + done, text.size() - done);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    done += static_cast<std::size_t>(size);
  }
  return true;
}

// Throws std::runtime_error. An empty text: there is no file.
std::string readAll(const std::string& path) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.open()) {
    if (errno == ENOENT) return {};
    throw std::runtime_error(reason());
  }
  std::string text(kMaxText + 1, '\0');
  std::size_t size = 0;
  while (size < text.size()) {
    const ssize_t got = ::read(file.number(), text.data() + size, text.size() - size);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) throw std::runtime_error(reason());
    if (got == 0) break;
    size += static_cast<std::size_t>(got);
  }
  if (size > kMaxText) throw std::runtime_error("too large");
  if (size == 0) throw std::runtime_error("empty");
  text.resize(size);
  return text;
}

bool lock(int file) {
  for (int n = 0; n < kLockTries; ++n) {
    if (::flock(file, LOCK_EX | LOCK_NB) == 0) return true;
    if (errno != EWOULDBLOCK && errno != EINTR) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

}  // namespace

bool RotationFile::Stamp::operator==(const Stamp& other) const {
  return inode == other.inode && size == other.size && modified.tv_sec == other.modified.tv_sec &&
         modified.tv_nsec == other.modified.tv_nsec;
}

RotationFile::RotationFile(std::string folder, std::function<void(const std::string&)> log)
    : log_(std::move(log)) {
  if (!folder.empty()) path_ = std::move(folder) + "/ivypost-excluded.json";
}

std::optional<RotationFile::Stamp> RotationFile::stamp() const {
  struct stat found {};
  if (path_.empty() || ::stat(path_.c_str(), &found) != 0) return std::nullopt;
  return Stamp{found.st_ino, found.st_size, found.st_mtim};
}

std::optional<Rotation> RotationFile::read() {
  const auto now = stamp();
  if (!now || now == seen_) return std::nullopt;
  seen_ = now;
  try {
    const std::string text = readAll(path_);
    if (text.empty()) return std::nullopt;
    return Rotation::parse(text);
  } catch (const std::runtime_error& error) {
    log_("the file of excluded upstreams is left alone: " + std::string(error.what()));
    return std::nullopt;
  }
}

bool RotationFile::change(Rotation& current, const std::function<void(Rotation&)>& change, std::string& why) {
  if (path_.empty()) {
    why = "TMPDIR is not set, so it can't be kept";
    return false;
  }
  const Descriptor lockFile(::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lockFile.open()) {
    why = "it can't be kept: " + reason();
    return false;
  }
  if (!lock(lockFile.number())) {
    why = "it can't be kept: the other process holds the file";
    return false;
  }
  Rotation next = current;
  try {
    const std::string text = readAll(path_);
    if (!text.empty()) next = Rotation::parse(text);
  } catch (const std::runtime_error& error) {
    log_("the file of excluded upstreams is replaced: " + std::string(error.what()));
  }
  change(next);
  const std::string fresh = path_ + ".new";
  Descriptor file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file.open() || !writeAll(file.number(), next.text()) || !file.finish() ||
      ::rename(fresh.c_str(), path_.c_str()) != 0) {
    why = "it can't be kept: " + reason();
    ::unlink(fresh.c_str());
    return false;
  }
  seen_ = stamp();
  current = std::move(next);
  return true;
}

}  // namespace ivypost::rotation
