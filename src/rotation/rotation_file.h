// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// The set of excluded upstreams as a file that outlives its process, and that two processes change while one
// replaces the other. It is written whole and renamed, under a lock round read, change and write.
#ifndef IVYPOST_ROTATION_ROTATION_FILE_H_
#define IVYPOST_ROTATION_ROTATION_FILE_H_

#include <sys/stat.h>

#include <functional>
#include <optional>
#include <string>

#include "rotation/rotation.h"

namespace ivypost::rotation {

class RotationFile {
 public:
  // `folder`: empty if there is none, and then nothing can be kept. `log` gets one line for each trouble.
  RotationFile(std::string folder, std::function<void(const std::string&)> log);

  // What it says now, if that may differ from what was read or written last. None: nothing new, or it can't
  // be read, which is logged once for each such file.
  std::optional<Rotation> read();

  // Reads, lets `change` change it, and writes it before it returns. `current` stands for a file that can't
  // be read, and gets what was written. False, with one line in `why`: it could not be kept, and `current` is
  // as it was.
  bool change(Rotation& current, const std::function<void(Rotation&)>& change, std::string& why);

 private:
  struct Stamp {
    ino_t inode = 0;
    off_t size = -1;
    timespec modified{};
    bool operator==(const Stamp& other) const;
  };
  std::optional<Stamp> stamp() const;

  std::string path_;  // empty: none
  std::function<void(const std::string&)> log_;
  std::optional<Stamp> seen_;
};

}  // namespace ivypost::rotation

#endif  // IVYPOST_ROTATION_ROTATION_FILE_H_
