// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// A child process whose log is read line by line. It dies with its parent, however that ends, and with this
// object.
#ifndef IVYPOST_FLEET_PROCESS_H_
#define IVYPOST_FLEET_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivypost::fleet {

class Process {
 public:
  // Starts it at once with these arguments behind its name and this environment, and none of the parent's;
  // throws std::system_error. `line` is called for each line of its standard error, without its end; it must
  // not destroy the process.
  Process(boost::asio::io_context& io, const std::string& program, const std::vector<std::string>& arguments,
          const std::vector<std::string>& environment, std::function<void(const std::string&)> line);
  ~Process();  // SIGKILL, and waits for its end
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t id() const { return id_; }
  void signal(int number) const;  // ignored when it has ended
  // Its exit code, or 128 and the signal that ended it; none while it runs.
  std::optional<int> ended();

  struct Usage {
    double cpuSeconds = 0;
    std::size_t peakBytes = 0;  // resident
  };
  // As far as the kernel tells; of a process that has ended, as last asked.
  Usage usage();
  // Processor time since its start, in microseconds and finer than usage(); 0 when it has ended.
  std::int64_t processor() const;

 private:
  struct Log;
  pid_t id_ = -1;
  std::optional<int> code_;
  Usage last_;
  std::shared_ptr<Log> log_;
};

}  // namespace ivypost::fleet

#endif  // IVYPOST_FLEET_PROCESS_H_
