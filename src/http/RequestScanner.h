#ifndef DAISYLANDING_HTTP_REQUESTSCANNER_H
#define DAISYLANDING_HTTP_REQUESTSCANNER_H

#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Follows the bytes of one connection message by message and says at once why
/// a message can't be taken. Pure; answers callers that announce too much, send
/// two lengths, or never end what they began.
namespace daisylanding::http {

/// What callers may send, as the configuration in force says.
struct RequestLimits {
  size_t MaxHeaderBytes = 16'384;
  size_t MaxBodyBytes = 262'144;
  Millis HeaderTimeout{3'000}; ///< For the head; as long again for the body.
  Millis IdleTimeout{15'000};  ///< Between two messages.
};

/// Why a message is not taken: the status to answer with, the part or header
/// that is wrong, and what is allowed.
struct Refusal {
  uint16_t Status = 0;
  std::string Field;
  std::string Allowed;
};

class RequestScanner {
public:
  enum class Phase : uint8_t { BetweenMessages, Head, Body };

  explicit RequestScanner(TimePoint OpenedAt) : LastBoundary(OpenedAt) {}

  /// Takes the next bytes; after a refusal no more may be fed.
  std::optional<Refusal> feed(std::string_view Bytes,
                              const RequestLimits &Limits, TimePoint Now);
  /// Whether what was begun has taken too long.
  std::optional<Refusal> checkTimeout(const RequestLimits &Limits,
                                      TimePoint Now) const;

  Phase phase() const { return CurrentPhase; }
  /// When the message began, or the one before it ended.
  TimePoint lastBoundary() const { return LastBoundary; }
  /// Of the bytes fed last: up to the end of the last whole message.
  size_t completeBytes() const { return CompleteBytes; }
  /// Messages that were read whole.
  uint64_t completedMessages() const { return CompletedMessages; }

private:
  enum class ChunkPhase : uint8_t { Size, Data, DataEnd, Trailer };

  std::optional<Refusal> consumeHead(std::string_view &Bytes,
                                     const RequestLimits &Limits,
                                     TimePoint Now);
  std::optional<Refusal> parseHead(const RequestLimits &Limits);
  std::optional<Refusal> parseHeader(std::string_view Line,
                                     const RequestLimits &Limits);
  std::optional<Refusal> parseContentLength(std::string_view Value,
                                            const RequestLimits &Limits);
  std::optional<Refusal> consumeChunks(std::string_view &Bytes,
                                       const RequestLimits &Limits,
                                       TimePoint Now);
  std::optional<Refusal> parseChunkSize(const RequestLimits &Limits);
  bool consumeLine(std::string_view &Bytes);
  void completeMessage(TimePoint Now);

  Phase CurrentPhase = Phase::BetweenMessages;
  TimePoint LastBoundary;
  uint64_t CompletedMessages = 0;
  size_t CompleteBytes = 0;
  std::string Buffer; ///< The head, or a line between chunks, so far.
  std::optional<uint64_t> ContentLength;
  bool Chunked = false;
  uint64_t BytesLeft = 0;        ///< Of the body, or of the chunk.
  uint64_t ChunkedBodyBytes = 0; ///< Of chunks so far.
  ChunkPhase CurrentChunkPhase = ChunkPhase::Size;
};

} // namespace daisylanding::http

#endif
