// Copyright 2026 The ivypost authors. SPDX-License-Identifier: Apache-2.0
#ifndef IVYPOST_CLIENT_SESSION_H_
#define IVYPOST_CLIENT_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admission/connection_limiter.h"
#include "client_request.h"
#include "client_session_host.h"
#include "clock.h"
#include "close_reason.h"
#include "deadlines.h"
#include "response_writer.h"
#include "stream_writer.h"
#include "streaming/body_buffering.h"
#include "streaming/byte_budget.h"
#include "streaming/pieces_body.h"
#include "streaming/pipe.h"
#include "streaming/stall_timer.h"

namespace ivypost {

/// One client connection: reads requests, writes answers and closes the connection. Owned jointly by the
/// host's list and by pending operations on the socket, which may outlive the list entry.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  /// What all connections of a server share. All of it must outlive them.
  struct Resources {
    /// The event loop.
    boost::asio::io_context& io;
    /// The deadlines of all connections.
    std::shared_ptr<Deadlines> deadlines;
    /// The memory budget for bodies, and for input that is read ahead of an answer.
    streaming::ByteBudget& budget;
    /// Decides which connections are kept; notified of each change of this connection's state.
    admission::ConnectionLimiter& connectionLimiter;
  };

  /// Takes ownership of an accepted connection that the connection limiter holds in `slot`.
  ClientSession(ClientSessionHost& host, const Resources& resources, boost::asio::ip::tcp::socket socket,
                admission::ConnectionLimiter::Slot slot);

  /// Starts reading. Called once, after the server has listed the connection.
  void start();
  /// Whether the connection is between requests and has received no byte of a next one, so that closing it
  /// loses no request.
  [[nodiscard]] bool isIdle();
  /// Whether the connection has had a request, or has been open long enough to count as idle without one.
  [[nodiscard]] bool mayCountAsIdle(Micros time) const;
  /// Whether closing the connection loses no request and no answer of its client.
  [[nodiscard]] bool mayBeEvicted();
  /// Whether the connection is idle and closing it now loses neither a request nor an answer. For that, all
  /// sent data must be acknowledged: a request that crosses the close makes the kernel reset the connection,
  /// which may discard unacknowledged data.
  [[nodiscard]] bool mayCloseIdle();
  /// Whether the client of the waiting request has left. Also true if its input is no longer read, since a
  /// close could then not be detected. If true, the connection is closed or answered from the event loop and
  /// not within this call, as the caller may still be working on the request.
  [[nodiscard]] bool isClientGone();
  /// Called when the server stops: sends the final answer to a request that is being read, which has not run,
  /// or that waits for its answer.
  void sendFinalAnswer();
  /// The process is about to exit: closes the connection. Reads what is unread first, since closing over
  /// unread bytes would reset the connection and could lose the answer. If a streamed answer is incomplete,
  /// resets the connection, so that the client can't take it for a complete one.
  void closeAtExit();
  /// The id of the last request that was accepted; 0: none yet.
  [[nodiscard]] balancer::RequestId request() const { return request_; }
  /// When the last byte of the last accepted request was received.
  [[nodiscard]] Clock::time_point arrivedAt() const { return arrivedAt_; }
  /// The X-Trace-Id of the last accepted request.
  [[nodiscard]] std::uint64_t trace() const { return trace_; }
  /// Writes the answer to the current request, then continues with the next request or closes the connection.
  void write(Answer answer);
  /// Closes the connection at once and cancels a waiting request. Does nothing if it is already closed.
  void close(CloseReason reason);

  /// Closes the connection without notifying the host, which is being destroyed; handlers that run later do
  /// nothing.
  void detach();

 private:
  // Idle: no byte of a request has been received. Waiting: a request was accepted and its answer is pending.
  enum class State { Idle, Reading, Waiting, Writing, HangingUp, Closed };

  // The first request must be complete within this time after the accept, each further one within this time
  // after its first byte: a client that sends nothing, or an incomplete request, must get an error or a close
  // within 3 s.
  static constexpr std::chrono::milliseconds kMaxRequestTime{2500};

  boost::system::error_code peek();
  // Records an answer that is no success, or a close ahead of the complete answer.
  void recordAnswer(const Answer& answer) const;
  void recordClose(CloseReason reason) const;
  // The X-Trace-Id of the request that is being read or answered; 0: not known.
  [[nodiscard]] std::uint64_t currentTraceId() const;
  // Waits for a request, or for the client to close before it has its answer. `why`: the error of the
  // previous read, if any.
  void waitForInput(boost::system::error_code why = {});
  // Bytes that may be read into the buffer, which then holds at most `most`; 0: the byte budget is used up.
  std::size_t reserveRead(std::size_t most);
  // Lets more be read at once, if the byte budget suffices.
  void growBuffer();
  // Returns what the buffer no longer needs to the byte budget.
  void shrinkBuffer();
  // Whether more may be read while a request waits for its answer. The client's close is seen only after all
  // that it sent before has been read, so reading stops only at the memory budget.
  bool mayReadAhead();
  // Stops reading, and polls for the client's close.
  void stopReadingAhead();
  // Whether so much is unread that a close behind it might not have been received.
  bool mayHideClose();
  // Reads what has been received since reading ahead stopped. False if the client has left.
  bool resumeReadAhead();
  // Polls whether the client has left while its input is not read: a close behind unread data can't be
  // detected by reading.
  void pollForClose();
  // Reads what has been received into the buffer. While a request waits for its answer, this detects a client
  // that sends more and then closes.
  boost::system::error_code readAhead();
  void resume();
  // Has the request hold what was taken from the byte budget for it.
  void keepShares(ClientRequest& request);
  // Registers the request as open and forwards it; from here on its answer is pending.
  void beginWaiting(ClientRequest request);
  // Answers the request shortly after its deadline if nothing else has: because of a late timer, an
  // overloaded core or a fault of the decision module.
  void armAnswerTimeout(Clock::time_point deadline);
  // Answers the waiting request, whose time is over.
  void answerLate();
  void setDeadline(Clock::time_point until);
  void hangUp();
  // Delays the close until the client has acknowledged its answer: closing over unread input resets the
  // connection and discards what is not acknowledged.
  void linger(Clock::time_point atMost);
  void discard(std::size_t atMost);

  // client_session_reading.cpp
  void read();
  // The header is read separately from the body: Boost.Beast 1.74 does not report a length over the limit
  // when the body arrives together with the header, so such a body would be read without bound.
  void readHead(bool mayBeEmptyLine);
  void parseHead(bool mayBeEmptyLine);
  // Takes what the head needs when it is parsed from the byte budget; false if that is used up.
  bool reserveHead(std::size_t size);
  void awaitHeadBudget(bool mayBeEmptyLine);
  // `why`: the error of the previous read, if any.
  void readRestOfHead(bool mayBeEmptyLine, boost::system::error_code why = {});
  void onHeadReadable(bool mayBeEmptyLine, boost::system::error_code failed);
  void onHead(boost::system::error_code error, bool mayBeEmptyLine);
  // Rejects a request that there is no memory for.
  void rejectForMemory();
  // Answers a request that has not been read completely, and closes the connection.
  void answerUnread(Answer answer);
  // Sends 100 (Continue), for which the client waits before it sends the body.
  void sendContinue();
  void readBody();
  // Parses the part of the body that has been received.
  void parseBody();
  // Reads more of a body that is buffered, or streams it.
  void bufferBody();
  void awaitBudget();
  void recordReceived(std::size_t size);
  // Reads at most `most` bytes of the body. `why`: the error of the previous read, if any.
  void readBodyPart(std::size_t most, boost::system::error_code why = {});
  // Forwards the request while its body is still being received.
  void beginUpload();
  void onUploadPiece(boost::system::error_code error);
  void continueUpload();
  // Whether more of an upload may be read than its pipe has capacity for. The client's close is seen only
  // after all that it sent has been read, and no attempt may begin after the close. So until an attempt has
  // taken bytes, reading stops only at the memory budget.
  bool mayReadBeyondPipe();
  void updateUploadWrittenAt();
  // Whether the client's time is over although the upstream has not read all of its request.
  bool isUploadLate();
  // Whether the client's time is over although its request waits for the byte budget.
  bool isUnreadRequestLate();
  void onPipeCapacity();
  void onBody(boost::system::error_code error);
  std::string_view received() const;
  void onRead(boost::system::error_code error);
  // How long the kernel held the request that has just been read: while the connection was in the accept
  // queue, or because the event loop was late. The client's time counts from the last byte of the request.
  std::chrono::milliseconds unreadTime();

  // client_session_writing.cpp
  // Whether bytes of a next request have been received. Input that has been read must be answered, so the
  // sidecar does not close the connection before that.
  bool hasNextRequest();
  // Writes the remainder of the answer. `why`: the error that interrupted the previous write.
  void writeRest(boost::system::error_code why);
  // Keeps what the kernel has not accepted of an answer.
  void keepUnwritten(std::size_t sent);
  void writeStream(ResponseHead head, std::shared_ptr<streaming::Pipe> body);
  void writeStreamed();
  void waitToWriteStreamed();
  void onWritten();

  ClientSessionHost& host_;
  boost::asio::io_context& io_;
  streaming::ByteBudget& budget_;
  admission::ConnectionLimiter& connectionLimiter_;
  boost::asio::ip::tcp::socket socket_;
  Deadlines::Deadline deadline_;
  Deadlines::Deadline closePoll_;  // the next poll for the client's close
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<streaming::PiecesBody>> parser_;
  std::optional<streaming::StallTimer> bodyStallTimer_;          // of the request's body
  streaming::BodyBuffering buffering_;                           // of request bodies
  streaming::ByteBudget::Share bufferShare_;                     // budget held by the buffer
  streaming::ByteBudget::Share headShare_;                       // budget held by the parsed head
  std::shared_ptr<streaming::ByteBudget::Share> responseShare_;  // budget held by the answer's body
  std::shared_ptr<Upload> upload_;                               // of a request whose body streams
  std::shared_ptr<streaming::Pipe> responsePipe_;                // the body of an answer that streams
  Micros expiresIn_ = 0;  // the client's time from the last byte of a streamed request body
  std::optional<Clock::time_point> budgetWaitSince_;  // since when a body is or was unread for want of budget
  // When the client may have written the last byte of an upload; none: not yet, or not known.
  std::optional<Clock::time_point> uploadWrittenAt_;
  std::optional<Micros> backpressureSince_;  // since when backpressure has stopped reading the upload
  unsigned httpVersion_ = 11;                // of the request, as Boost.Beast writes versions
  bool isUploading_ = false, isReadingBody_ = false;
  StreamWriter writer_;                            // of an answer that streams
  bool isWaitingToWrite_ = false;                  // the streamed answer waits for a writable socket
  std::optional<RequestHead> headersAheadOfBody_;  // as received, while a chunked body is read
  std::string responseHead_, responseBody_;
  bool closesAfterResponse_ = false;
  bool isClientError_ = false;  // the answer has a 4xx status
  balancer::RequestId request_ = 0;
  Clock::time_point arrivedAt_;
  Clock::time_point responseDeadline_ = Clock::time_point::max();  // the deadline of the current request
  std::uint64_t trace_ = 0;
  const admission::ConnectionLimiter::Slot slot_;
  State state_ = State::Idle;
  bool keepAlive_ = true;
  bool isWaitingForInput_ = false;
  bool hasFilledBuffer_ = false;  // the last read of a body took all that it could
  bool isPausing_ = false;        // reading pauses after an answer to a faulty request
  bool isBufferInUse_ = false;    // a pending operation reads a head into the buffer, or writes a 100
  bool mayHaveUnread_ = false;  // reading ahead has stopped: unread data, and a close after it, may be queued
};

}  // namespace ivypost

#endif  // IVYPOST_CLIENT_SESSION_H_
