// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
//
// Which system calls fail how, and how often: read from one environment variable.
//
//   plan := item (';' item)*
//   item := 'counts=' PATH | 'seed=' N | rule
//   rule := call fault option*
//   call := a name of kCalls, or one of the groups 'reads' and 'writes' (of sockets) and 'files' (all calls
//   of
//           files)
//   fault := an errno's name | 'short' | 'sleep=' MS | 'kill'
//   option := 'every=' N (one in N, drawn by the seed; 1 if absent) | 'from=' K | 'to=' K (the first and last
//           call of the rule's that may fail, from 1) | 'at=' K (both) | 'after=' MS | 'until=' MS (since the
//           process began) | 'bytes=' N (of a short count, 1 if absent) | 'of=' (connected|accepted|datagram)
//           | 'path=' PREFIX (of the file)
//
// Example: "counts=/tmp/c;seed=7;accept ECONNABORTED every=5;writes short every=3 bytes=20".
#ifndef IVYPOST_TESTS_SYSTEM_CALL_FAULTS_PLAN_H_
#define IVYPOST_TESTS_SYSTEM_CALL_FAULTS_PLAN_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ivypost::system_call_faults {

// The environment variable that holds the plan.
constexpr const char* kVariable = "IVYPOST_SYSTEM_CALL_FAULTS";
// Exit code of a process whose plan can't be read.
constexpr int kBadPlanExit = 70;

enum class Call : std::uint8_t {
  Accept,
  Accept4,
  Socket,
  Connect,
  Read,
  Readv,
  Recv,
  Recvfrom,
  Recvmsg,
  Write,
  Writev,
  Send,
  Sendto,
  Sendmsg,
  EpollWait,
  Poll,
  Getsockopt,
  Open,
  Close,
  Fsync,
  Fdatasync,
  Rename,
  Count
};

// What a descriptor is, as far as faults differ by it. A bit set.
enum Kind : std::uint8_t {
  kNone = 0,
  kListener = 1,   // or a call without a descriptor
  kConnected = 2,  // a stream on which connect() was called
  kAccepted = 4,   // a stream that accept() gave
  kDatagram = 8,
  kFile = 16,
  kOther = 32,  // pipe, eventfd, timerfd and the like: nothing fails there
  kStream = kConnected | kAccepted,
  kSocket = kStream | kDatagram,
};

struct Rule {
  enum class Fault : std::uint8_t { Errno, Short, Sleep, Kill };
  std::string text;  // as it stands in the plan, for messages and counts
  std::vector<Call> calls;
  Fault fault = Fault::Errno;
  int error = 0;
  std::uint8_t kinds = 0;  // descriptors on which Linux documents the fault, and the plan wants it
  std::uint32_t every = 1;
  std::uint32_t from = 1, to = UINT32_MAX;
  std::uint32_t afterMs = 0, untilMs = UINT32_MAX;
  std::uint32_t sleepMs = 0;
  std::size_t bytes = 1;
  std::string path;  // empty: any

  bool hasCall(Call call) const;
  // Whether the rule's call with this number (from 1) is drawn.
  bool draws(std::uint64_t seed, std::uint32_t number) const;
};

struct Plan {
  std::string counts;  // the file that tells how often each fault was given; empty: none
  std::uint64_t seed = 1;
  std::vector<Rule> rules;
};

// What is wrong, in one line that names the variable and the item.
class PlanError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws PlanError, also for a fault that Linux doesn't document for the call.
Plan readPlan(std::string_view text);

}  // namespace ivypost::system_call_faults

#endif  // IVYPOST_TESTS_SYSTEM_CALL_FAULTS_PLAN_H_
