// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
/// \file
/// The bounds of memory: how many connections a process may hold and how much it may buffer, so that the sum
/// of the most that each may hold stays under its memory limit. Arithmetic alone.
#ifndef IVYPOST_MEMORY_PLAN_H_
#define IVYPOST_MEMORY_PLAN_H_

#include <algorithm>
#include <cstddef>

#include "streaming/body_buffering.h"
#include "streaming/pipe.h"

namespace ivypost {

/// The most bytes that one client connection holds in each state without taking them from the byte budget.
/// What it holds beyond these is taken from the budget, and is rejected, streamed or left unread if the
/// budget is used up.
struct ClientConnectionMemory {
  /// The session and its slot, and the records of its request in the sidecar and the decision module.
  static constexpr std::size_t kObjects = 4UL * 1024;
  /// The buffer that bytes are read into.
  static constexpr std::size_t kReadBuffer = 2UL * 1024;
  /// The request's head, by costOfHead().
  static constexpr std::size_t kHead = 2UL * 1024;
  /// Costs of each header beside its text: list and tree nodes, and the allocation.
  static constexpr std::size_t kHeaderOverhead = 96;
  /// The text of a head is held parsed and, while an attempt is sent, once more as it is sent.
  static constexpr std::size_t kCopiesOfHead = 2;
  /// The request's body.
  static constexpr std::size_t kBody = streaming::BodyBuffering::kFreeBytes;
  /// The head of an answer, and its body or a piece of it.
  static constexpr std::size_t kAnswer = 5UL * 512;

  /// Between requests.
  static constexpr std::size_t kIdle = kObjects + kReadBuffer;
  /// While a request's head or body is read, or its answer awaited.
  static constexpr std::size_t kReading = kIdle + kHead + kBody;
  /// While the body of a chunked request is read: its headers are stored once more, apart from its trailer.
  static constexpr std::size_t kReadingChunked = kReading + kHead;
  /// While a body is streamed: a piece that has been parsed, and the pipe.
  static constexpr std::size_t kUploading =
      kIdle + kHead + streaming::Pipe::kMinCapacity + streaming::Pipe::kMinStorage;
  /// While the answer is written.
  static constexpr std::size_t kWriting = kReading + kAnswer;
  /// In any state.
  static constexpr std::size_t kMax = std::max({kIdle, kReading, kReadingChunked, kUploading, kWriting});
};

/// The same for one connection to an upstream.
struct UpstreamConnectionMemory {
  /// The connection, its exchange and its attempt.
  static constexpr std::size_t kObjects = 2UL * 1024;
  /// A piece of a streamed request body, as it is sent.
  static constexpr std::size_t kPiece = 5UL * 512;
  /// The bytes of an answer that are read at once.
  static constexpr std::size_t kReadSize = 2UL * 1024;
  /// The read buffer and the head of an answer.
  static constexpr std::size_t kBufferAndHead = 4UL * 1024;
  /// The body of an answer that is buffered.
  static constexpr std::size_t kBody = 2UL * 1024;
  /// The answer as far as it has been received.
  static constexpr std::size_t kAnswer = kBufferAndHead + kBody;

  /// While a request is streamed; its upstream may answer ahead of its end.
  static constexpr std::size_t kSending = kObjects + kPiece + kAnswer;
  /// While an early answer is held, and the one that follows it is received.
  static constexpr std::size_t kHolding = kObjects + kBody + kAnswer;
  /// While an answer is streamed: the read buffer, a piece that has been parsed, and the pipe.
  static constexpr std::size_t kStreaming =
      kObjects + kBufferAndHead + streaming::Pipe::kMinCapacity + streaming::Pipe::kMinStorage;
  /// In any state.
  static constexpr std::size_t kMax = std::max({kSending, kHolding, kStreaming});
};

/// The limits of a process.
struct ProcessLimits {
  double memory = 0;       ///< bytes of memory
  double connections = 0;  ///< descriptors for client and upstream connections together
};

/// The bounds that follow from a process's limits.
struct MemoryPlan {
  /// The fraction of the memory that the sum of all bounds may reach. The rest is for fragmentation.
  static constexpr double kUsableFraction = 0.85;
  /// Bytes for the program itself, its tables, SharedTraceIds, and buffers that are copied when they grow.
  static constexpr double kFixed = 3e6;
  /// The fractions of the memory that the byte budget gets at the least and at the most. Where the least does
  /// not remain, there are fewer client connections.
  static constexpr double kMinBudgetFraction = 0.1;
  static constexpr double kMaxBudgetFraction = 0.55;

  std::size_t clientConnections = 1;    ///< the most client connections; at least 1
  std::size_t upstreamConnections = 0;  ///< the most connections to upstreams
  std::size_t byteBudget = 0;           ///< the capacity of the byte budget

  /// The most bytes that the process may hold by these bounds.
  [[nodiscard]] double worstCase() const;
};

/// Divides a process's limits. The sum of the bounds is at most kUsableFraction of the memory, unless that is
/// too little for the fixed part, the connections to upstreams and one client.
[[nodiscard]] MemoryPlan planMemory(const ProcessLimits& limits);

}  // namespace ivypost

#endif  // IVYPOST_MEMORY_PLAN_H_
