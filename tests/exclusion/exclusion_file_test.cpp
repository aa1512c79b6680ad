// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Tests the file of excluded endpoints: two processes that share it, invalid files, failing disks and
// crashes.
#include "exclusion/exclusion_file.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string_view>
#include <vector>

#include "exclusion/error.h"

namespace ivypost::exclusion {
namespace {

// Records the system calls, one line for each, and injects failures. Names a path by its extension, or
// "folder" if it has none.
class TestFiles : public FileOperations {
 public:
  struct Fault {
    std::string call;  // "write .new"
    int error = EIO;
    int times = 1;
    int after = 0;  // calls that succeed before the failures
  };

  std::vector<std::string> calls;
  std::vector<Fault> faults;
  std::function<void()> onCall = [] {};  // called after each call

  int open(const char* path, int flags, mode_t mode) override {
    if (fails("open " + ending(path))) return -1;
    const int file = FileOperations::open(path, flags, mode);
    if (file >= 0) names_[file] = ending(path);
    return done("open " + ending(path), file);
  }
  // Reads and writes at most 16 bytes at a time, since read(2) and write(2) may transfer less than requested.
  ssize_t read(int file, void* bytes, std::size_t size) override {
    if (fails("read " + names_[file])) return -1;
    return done("read " + names_[file], FileOperations::read(file, bytes, std::min<std::size_t>(size, 16)));
  }
  ssize_t write(int file, const void* bytes, std::size_t size) override {
    if (fails("write " + names_[file])) return -1;
    return done("write " + names_[file], FileOperations::write(file, bytes, std::min<std::size_t>(size, 16)));
  }
  int sync(int file) override {
    if (fails("sync " + names_[file])) return -1;
    return done("sync " + names_[file], FileOperations::sync(file));
  }
  int close(int file) override {
    const int result = FileOperations::close(file);
    if (fails("close " + names_[file])) return -1;
    return done("close " + names_[file], result);
  }
  int rename(const char* from, const char* to) override {
    if (fails("rename " + ending(to))) return -1;
    return done("rename " + ending(to), FileOperations::rename(from, to));
  }
  int unlink(const char* path) override {
    if (fails("unlink " + ending(path))) return -1;
    return done("unlink " + ending(path), FileOperations::unlink(path));
  }
  int tryLock(int file, LockMode mode) override {
    if (fails("lock")) return -1;
    return done("lock", FileOperations::tryLock(file, mode));
  }
  int checkWritable(const char* path) override {
    if (fails("writable")) return -1;
    return FileOperations::checkWritable(path);
  }

 private:
  static std::string ending(const char* path) {
    const std::string extension = std::filesystem::path(path).extension();
    return extension.empty() ? "folder" : extension;
  }
  bool fails(const std::string& call) {
    for (Fault& fault : faults) {
      if (fault.call != call || fault.times == 0 || fault.after-- > 0) continue;
      --fault.times;
      errno = fault.error;
      return true;
    }
    return false;
  }
  template <typename Result>
  Result done(const std::string& call, Result result) {
    const int error = errno;
    calls.push_back(call);
    onCall();
    errno = error;
    return result;
  }

  std::map<int, std::string> names_;
};

class ExclusionFileTest : public testing::Test {
 protected:
  ExclusionFileTest() {
    std::string name = testing::TempDir() + "exclusion-XXXXXX";
    EXPECT_NE(mkdtemp(name.data()), nullptr);
    folder = name;
  }
  ~ExclusionFileTest() override { std::filesystem::remove_all(folder); }

  ExclusionFile file(FileOperations& files = systemFiles()) {
    return {folder, [this](const std::string& line) { lines.push_back(line); }, files};
  }
  std::string path() const { return folder + "/ivypost-excluded.json"; }
  void write(const std::string& text) const { std::ofstream(path(), std::ios::binary) << text; }
  std::string content() const {
    std::ostringstream text;
    text << std::ifstream(path(), std::ios::binary).rdbuf();
    return text.str();
  }
  // Whether a process that starts now excludes the endpoint.
  bool isExcludedAfterAStart(const std::string& id) {
    const auto read = file().readIfChanged();
    return read && read->isExcluded(id);
  }
  // Excludes an endpoint that is in the endpoint list.
  static std::error_code exclude(ExclusionFile& file, ExclusionSet& set, const std::string& id) {
    return file.apply(set, {Change::Kind::Exclude, id, true, {}, {}}).error();
  }

  std::string folder;
  std::vector<std::string> lines;
};

TEST_F(ExclusionFileTest, TheOtherProcessReadsAChange) {
  ExclusionFile mine = file();
  ExclusionFile other = file();
  EXPECT_FALSE(other.readIfChanged());
  ExclusionSet exclusions;
  ASSERT_FALSE(exclude(mine, exclusions, "a"));
  EXPECT_FALSE(mine.readIfChanged()) << "its own change is not read again";
  const auto read = other.readIfChanged();
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->isExcluded("a"));
  EXPECT_FALSE(other.readIfChanged());
}

// Each process applies its change to the stored set that the other has written, not to its own copy.
TEST_F(ExclusionFileTest, ChangesOfTwoProcessesAddUp) {
  ExclusionFile mine = file();
  ExclusionFile other = file();
  ExclusionSet a, b;
  ASSERT_FALSE(exclude(mine, a, "a"));
  ASSERT_FALSE(exclude(other, b, "b"));
  EXPECT_TRUE(b.isExcluded("a"));
  EXPECT_TRUE(mine.readIfChanged()->isExcluded("b"));
}

TEST_F(ExclusionFileTest, InvalidFilesAreLoggedOnceAndReplacedByTheNextChange) {
  for (const char* text :
       {"", "{\"version\":1,\"out\":[\"a\"", "garbage", "{\"version\":9,\"out\":[],\"back\":{}}"}) {
    lines.clear();
    write(text);
    ExclusionFile mine = file();
    EXPECT_FALSE(mine.readIfChanged());
    EXPECT_FALSE(mine.readIfChanged());
    EXPECT_EQ(lines.size(), 1U) << text;
    ExclusionSet exclusions;
    ASSERT_EQ(exclusions.apply({Change::Kind::Exclude, "kept", true, {}, {}}), Outcome::Changed);
    ASSERT_FALSE(exclude(mine, exclusions, "b"));
    const auto read = file().readIfChanged();
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->isExcluded("kept")) << "the exclusions of the process must stay";
    EXPECT_TRUE(read->isExcluded("b"));
  }
  lines.clear();
  write(std::string(3'000'000, ' '));
  EXPECT_FALSE(file().readIfChanged());
  EXPECT_EQ(lines.size(), 1U);
}

TEST_F(ExclusionFileTest, AChangeThatCannotBeStoredIsAnError) {
  ExclusionSet exclusions;
  ExclusionFile nowhere(folder + "/missing", [](const std::string&) {});
  EXPECT_EQ(exclude(nowhere, exclusions, "a"), std::errc::no_such_file_or_directory);
  ExclusionFile none("", [](const std::string&) {});
  EXPECT_EQ(exclude(none, exclusions, "a"), Error::NoFolder);
  EXPECT_FALSE(none.readIfChanged());
  std::filesystem::create_directory(path() + ".new");
  ExclusionFile full = file();
  const std::error_code error = exclude(full, exclusions, "a");
  EXPECT_EQ(error, std::errc::file_exists);
  EXPECT_EQ(error.message().find('\n'), std::string::npos);
  EXPECT_FALSE(exclusions.isExcluded("a"));
  EXPECT_FALSE(std::filesystem::exists(path()));
}

// A process that is stopped while it holds the lock must not block this one's event loop: apply() fails
// without waiting, and the caller tries again.
TEST_F(ExclusionFileTest, AHeldLockIsAnErrorWithoutWaiting) {
  const int held = open((path() + ".lock").c_str(), O_RDWR | O_CREAT, 0600);
  ASSERT_GE(held, 0);
  ASSERT_EQ(flock(held, LOCK_EX), 0);
  TestFiles files;
  ExclusionFile mine = file(files);
  ExclusionSet exclusions;
  EXPECT_EQ(exclude(mine, exclusions, "a"), Error::Locked);
  EXPECT_EQ(files.calls, (std::vector<std::string>{"open .lock", "lock", "close .lock"})) << "one try";
  EXPECT_FALSE(exclusions.isExcluded("a"));
  close(held);
  EXPECT_FALSE(exclude(mine, exclusions, "a"));
}

// A change that another process is writing may still be reverted, so a running process does not read it. A
// process that starts reads it without waiting for the lock.
TEST_F(ExclusionFileTest, AChangeInProgressIsReadAtAStartOnly) {
  ExclusionFile running = file();
  EXPECT_FALSE(running.readIfChanged());
  ExclusionSet exclusions;
  ExclusionFile writer = file();
  ASSERT_FALSE(exclude(writer, exclusions, "a"));
  const int held = open((path() + ".lock").c_str(), O_RDWR | O_CREAT, 0600);
  ASSERT_EQ(flock(held, LOCK_EX), 0);
  EXPECT_FALSE(running.readIfChanged());
  EXPECT_TRUE(isExcludedAfterAStart("a"));
  close(held);
  const auto read = running.readIfChanged();
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->isExcluded("a"));
}

// ---- Failing disks ----------------------------------------------------------------------------------------

struct DiskFault {
  const char* name;
  std::vector<TestFiles::Fault> faults;
  std::errc error;

  friend void PrintTo(const DiskFault& fault, std::ostream* out) { *out << fault.name; }
};

class FailingDiskTest : public ExclusionFileTest, public testing::WithParamInterface<DiskFault> {};

// A change that was reported as failed is not in force in this process, in the other process or after a
// start, and no temporary file is left.
TEST_P(FailingDiskTest, AChangeThatCannotBeStoredIsNotInForceAnywhere) {
  for (const bool hasFile : {true, false}) {
    std::filesystem::remove(path());
    TestFiles files;
    ExclusionFile mine = file(files);
    ExclusionFile other = file();
    ExclusionSet exclusions;
    if (hasFile) {
      ASSERT_FALSE(exclude(mine, exclusions, "kept"));
    }
    const std::string before = content();
    EXPECT_EQ(other.readIfChanged().has_value(), hasFile);
    files.faults = GetParam().faults;
    if (hasFile || GetParam().faults[0].call != "read .json") {
      EXPECT_EQ(exclude(mine, exclusions, "a"), GetParam().error);
    }
    files.faults.clear();
    EXPECT_FALSE(exclusions.isExcluded("a"));
    EXPECT_EQ(exclusions.isExcluded("kept"), hasFile);
    EXPECT_EQ(content(), before);
    EXPECT_EQ(std::filesystem::exists(path()), hasFile);
    EXPECT_FALSE(std::filesystem::exists(path() + ".new"));
    const auto read = other.readIfChanged();
    EXPECT_FALSE(read && read->isExcluded("a"));
    EXPECT_FALSE(isExcludedAfterAStart("a"));
    EXPECT_EQ(isExcludedAfterAStart("kept"), hasFile);
    // The next change succeeds.
    EXPECT_FALSE(exclude(mine, exclusions, "b"));
    EXPECT_TRUE(isExcludedAfterAStart("b"));
    EXPECT_FALSE(isExcludedAfterAStart("a"));
  }
}

INSTANTIATE_TEST_SUITE_P(
    ExclusionFile, FailingDiskTest,
    testing::Values(
        DiskFault{"NoSpaceAtOpen", {{"open .new", ENOSPC}}, std::errc::no_space_on_device},
        DiskFault{"NoSpaceAtWrite", {{"write .new", ENOSPC}}, std::errc::no_space_on_device},
        DiskFault{"NoSpaceHalfWay", {{"write .new", ENOSPC, 1, 2}}, std::errc::no_space_on_device},
        DiskFault{"ErrorAtWrite", {{"write .new", EIO}}, std::errc::io_error},
        DiskFault{"ErrorAtRead", {{"read .json", EIO}}, std::errc::io_error},
        DiskFault{"NoDescriptor", {{"open folder", EMFILE}}, std::errc::too_many_files_open},
        DiskFault{"ReadOnly", {{"open .lock", EROFS}}, std::errc::read_only_file_system},
        DiskFault{"NoLocks", {{"lock", ENOLCK}}, std::errc::no_lock_available},
        DiskFault{"SyncOfTheFile", {{"sync .new", EIO, 2}}, std::errc::io_error},
        DiskFault{"NoSpaceAtSync", {{"sync .new", ENOSPC, 2}}, std::errc::no_space_on_device},
        DiskFault{"Close", {{"close .new", EIO}}, std::errc::io_error},
        DiskFault{"Rename", {{"rename .json", EIO}}, std::errc::io_error},
        DiskFault{"SyncOfTheFolder", {{"sync folder", EIO, 2}}, std::errc::io_error},
        DiskFault{"SyncOfTheFolderForGood", {{"sync folder", EIO, 9}}, std::errc::io_error},
        DiskFault{
            "FolderThenFile", {{"sync folder", EIO, 1}, {"sync .new", EIO, 1, 1}}, std::errc::io_error}),
    [](const auto& one) { return one.param.name; });

// A change that the set rejects has nothing to store, so no file is written.
TEST_F(ExclusionFileTest, ARejectedChangeWritesNothing) {
  TestFiles files;
  ExclusionFile mine = file(files);
  ExclusionSet exclusions;
  const Change unknown{Change::Kind::Exclude, "a", false, {}, {}};
  EXPECT_EQ(mine.apply(exclusions, unknown).value(), Outcome::UnknownEndpoint);
  const Change tooLong{Change::Kind::Exclude, std::string(ExclusionSet::kMaxIdLength + 1, 'x'), true, {}, {}};
  EXPECT_EQ(mine.apply(exclusions, tooLong).value(), Outcome::Full);
  EXPECT_FALSE(std::filesystem::exists(path()));
  EXPECT_EQ(std::count(files.calls.begin(), files.calls.end(), "open .new"), 0);
}

TEST_F(ExclusionFileTest, AChangeIsSyncedBeforeAndAfterItsRename) {
  TestFiles files;
  ExclusionFile mine = file(files);
  ExclusionSet exclusions;
  ASSERT_FALSE(exclude(mine, exclusions, "a"));
  std::vector<std::string> order;
  for (const std::string& call : files.calls) {
    const bool counts = call == "write .new" || call == "rename .json" || call.substr(0, 4) == "sync";
    if (counts && (order.empty() || order.back() != call)) order.push_back(call);
  }
  EXPECT_EQ(order, (std::vector<std::string>{"write .new", "sync .new", "rename .json", "sync folder"}));
}

// After a failed sync the kernel may drop the unwritten pages, and a second sync of the same file would still
// succeed without them.
TEST_F(ExclusionFileTest, AfterAFailedSyncTheSetIsWrittenIntoAnotherFile) {
  for (const char* call : {"sync .new", "sync folder"}) {
    TestFiles files;
    ExclusionFile mine = file(files);
    ExclusionSet exclusions;
    files.faults = {{call, EIO, 1}};
    ASSERT_FALSE(exclude(mine, exclusions, "a")) << call;
    EXPECT_EQ(std::count(files.calls.begin(), files.calls.end(), "open .new"), 2) << call;
    EXPECT_TRUE(isExcludedAfterAStart("a"));
  }
}

TEST_F(ExclusionFileTest, AFileSystemWithoutSyncOfFoldersStoresChanges) {
  TestFiles files;
  ExclusionFile mine = file(files);
  ExclusionSet exclusions;
  files.faults = {{"sync folder", EINVAL, 9}};
  EXPECT_FALSE(exclude(mine, exclusions, "a"));
  EXPECT_TRUE(isExcludedAfterAStart("a"));
}

// The sync of the folder fails, and so does the rename that would restore the earlier set, so that the file
// contains a change that was reported as failed. This process ignores that change, and its next stored change
// removes it.
TEST_F(ExclusionFileTest, AFileThatCannotBeRestoredIsLoggedAndIgnored) {
  TestFiles files;
  ExclusionFile mine = file(files);
  ExclusionSet exclusions;
  ASSERT_FALSE(exclude(mine, exclusions, "kept"));
  const auto writes = std::count(files.calls.begin(), files.calls.end(), "write .new");
  files.calls.clear();
  files.faults = {{"sync folder", EIO, 2}, {"rename .json", EIO, 1, 2}};
  EXPECT_TRUE(exclude(mine, exclusions, "a"));
  EXPECT_GT(std::count(files.calls.begin(), files.calls.end(), "write .new"), 2 * writes)
      << "the restore was not tried";
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines[0].find("can't be restored"), std::string::npos);
  EXPECT_FALSE(exclusions.isExcluded("a"));
  EXPECT_FALSE(mine.readIfChanged()) << "it would apply the failed change";
  ASSERT_FALSE(exclude(mine, exclusions, "b"));
  EXPECT_FALSE(exclusions.isExcluded("a"));
  EXPECT_TRUE(isExcludedAfterAStart("kept"));
  EXPECT_TRUE(isExcludedAfterAStart("b"));
  EXPECT_FALSE(isExcludedAfterAStart("a"));
}

TEST_F(ExclusionFileTest, AnUnwritableFolderIsLoggedAtTheStartAndItsFileIsRead) {
  ExclusionFile writer = file();
  ExclusionSet exclusions;
  ASSERT_FALSE(exclude(writer, exclusions, "a"));
  TestFiles files;
  files.faults = {{"writable", EROFS, 9}, {"open .lock", EROFS, 9}};
  ExclusionFile mine = file(files);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines[0].find(folder), std::string::npos);
  EXPECT_NE(lines[0].find("Read-only"), std::string::npos);
  EXPECT_EQ(lines[0].find('\n'), std::string::npos);
  const auto read = mine.readIfChanged();
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->isExcluded("a"));
  EXPECT_EQ(exclude(mine, exclusions, "b"), std::errc::read_only_file_system);
  EXPECT_EQ(lines.size(), 1U);
}

// After a failed read the content is unknown, so the file is read again until a read succeeds.
TEST_F(ExclusionFileTest, AReadThatFailsIsLoggedOnceAndTriedAgain) {
  ExclusionFile writer = file();
  ExclusionSet exclusions;
  ASSERT_FALSE(exclude(writer, exclusions, "a"));
  for (const char* call : {"open .json", "read .json"}) {
    lines.clear();
    TestFiles files;
    files.faults = {{call, EIO, 2}};
    ExclusionFile mine = file(files);
    EXPECT_FALSE(mine.readIfChanged());
    EXPECT_FALSE(mine.readIfChanged());
    EXPECT_EQ(lines.size(), 1U) << call;
    const auto read = mine.readIfChanged();
    ASSERT_TRUE(read) << call;
    EXPECT_TRUE(read->isExcluded("a"));
  }
}

// ---- Times ------------------------------------------------------------------------------------------------

void setModificationTime(const std::string& path, const timespec& to) {
  const timespec times[2] = {to, to};
  ASSERT_EQ(utimensat(AT_FDCWD, path.c_str(), times, 0), 0);
}

// The clock is stepped back between changes of the same size, so that their files have the same modification
// time.
TEST_F(ExclusionFileTest, AStepOfTheClockHidesNoChange) {
  const timespec sameTime{1'700'000'000, 0};
  const auto text = [](char id) {
    return std::string("{\"version\":1,\"out\":[\"") + id + "\"],\"back\":{}}";
  };
  const auto publish = [&](char id) {
    std::ofstream(path() + ".new", std::ios::binary) << text(id);
    setModificationTime(path() + ".new", sameTime);
    std::filesystem::rename(path() + ".new", path());
  };
  ExclusionFile mine = file();
  publish('a');
  ASSERT_TRUE(mine.readIfChanged());
  for (const char id : {'b', 'c', 'd', 'e'}) {
    // Two renames for each read: the first could free the inode number of the file that was read, and the
    // file of the second could then get this number.
    publish('z');
    publish(id);
    const auto read = mine.readIfChanged();
    ASSERT_TRUE(read) << id;
    EXPECT_TRUE(read->isExcluded(std::string(1, id)));
  }
  // The file is changed in place, as an editor may do.
  write(text('f'));
  setModificationTime(path(), sameTime);
  const auto read = mine.readIfChanged();
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->isExcluded("f"));
}

// ---- Killed processes -------------------------------------------------------------------------------------

// Excludes "new" in a child process that is killed after its nth system call. Returns true if the process
// made fewer calls and was not killed. `kept`: set to whether the process reported the change as made.
bool changeInKilledProcess(const std::string& folder, const std::vector<TestFiles::Fault>& faults, int nth,
                           bool& kept) {
  int line[2];
  EXPECT_EQ(pipe(line), 0);
  const pid_t child = fork();
  if (child == 0) {
    TestFiles files;
    files.faults = faults;
    int calls = 0;
    files.onCall = [&] {
      if (++calls == nth) ::raise(SIGKILL);
    };
    ExclusionFile file(
        folder, [](const std::string&) {}, files);
    ExclusionSet set;
    if (auto read = file.readIfChanged()) set = std::move(*read);
    const auto error = file.apply(set, {Change::Kind::Exclude, "new", true, {}, {}}).error();
    const char answer = error ? 'n' : 'y';
    _exit(::write(line[1], &answer, 1) == 1 ? 0 : 1);
  }
  ::close(line[1]);
  char answer = 0;
  kept = ::read(line[0], &answer, 1) == 1 && answer == 'y';
  ::close(line[0]);
  int status = 0;
  EXPECT_EQ(waitpid(child, &status, 0), child);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

TEST_F(ExclusionFileTest, AKillAfterAnyCallLeavesTheOldSetOrTheNewOne) {
  const std::vector<std::vector<TestFiles::Fault>> disks = {
      {}, {{"sync .new", EIO, 1}}, {{"sync folder", EIO, 1}}, {{"sync folder", EIO, 2}}};
  for (const auto& faults : disks) {
    bool ended = false;
    int nth = 0;
    while (!ended) {
      std::filesystem::remove(path());
      ExclusionFile mine = file();
      ExclusionSet exclusions;
      ASSERT_FALSE(exclude(mine, exclusions, "old"));
      bool kept = false;
      ended = changeInKilledProcess(folder, faults, ++nth, kept);
      ASSERT_LT(nth, 200);
      const auto found = ExclusionSet::parse(content());
      ASSERT_TRUE(found) << "incomplete file after call " << nth;
      EXPECT_TRUE(found.value().isExcluded("old")) << nth;
      EXPECT_TRUE(!kept || found.value().isExcluded("new"))
          << "reported as made, but lost after call " << nth;
      // The lock was released with the process, and files that it left behind do not prevent the next change.
      ASSERT_FALSE(exclude(mine, exclusions, "next")) << nth;
      EXPECT_TRUE(isExcludedAfterAStart("old") && isExcludedAfterAStart("next"));
    }
    EXPECT_GT(nth, 10) << "calls of a change";
  }
}

// Simulates a crash of the machine after each call. The content of a file that was not synced is lost, and a
// rename before a sync of the folder may or may not be on the disk.
TEST_F(ExclusionFileTest, ACrashOfTheMachineLeavesTheOldSetOrTheNewOne) {
  for (int nth = 1;; ++nth) {
    std::filesystem::remove(path());
    ExclusionFile before = file();
    ExclusionSet exclusions;
    ASSERT_FALSE(exclude(before, exclusions, "old"));
    TestFiles files;
    std::string disk = content();  // content of the file before the change
    std::string syncedText;        // synced content of the file that is going to be renamed
    std::vector<std::string> possibleContents{disk};  // contents that may be on the disk
    std::vector<std::string> contentsAtCrash;
    int calls = 0;
    files.onCall = [&] {
      const std::string& call = files.calls.back();
      if (call == "open .new") syncedText.clear();
      if (call == "sync .new") {
        std::ostringstream text;
        text << std::ifstream(path() + ".new", std::ios::binary).rdbuf();
        syncedText = text.str();
      }
      if (call == "rename .json") possibleContents.push_back(syncedText);
      if (call == "sync folder") possibleContents.assign(1, possibleContents.back());
      if (++calls == nth) contentsAtCrash = possibleContents;
    };
    ExclusionFile mine = file(files);
    ASSERT_FALSE(exclude(mine, exclusions, "new"));
    const bool hasCompleted = contentsAtCrash.empty();
    if (hasCompleted) contentsAtCrash = possibleContents;
    for (const std::string& text : contentsAtCrash) {
      const auto found = ExclusionSet::parse(text);
      ASSERT_TRUE(found) << "no valid file after call " << nth;
      EXPECT_TRUE(found.value().isExcluded("old"));
      EXPECT_TRUE(!hasCompleted || found.value().isExcluded("new")) << "reported as made, but lost";
    }
    if (hasCompleted) break;
  }
}

}  // namespace
}  // namespace ivypost::exclusion
