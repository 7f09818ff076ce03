#ifndef DAISYLANDING_HTTP_REQUESTSCANNER_H
#define DAISYLANDING_HTTP_REQUESTSCANNER_H

#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::http {

/// Limits on what clients may send, from the configuration in force.
struct RequestLimits {
  size_t MaxHeaderBytes = 16'384;
  size_t MaxBodyBytes = 262'144;
  /// As many as fit into such a head, at four bytes each.
  size_t MaxHeaderFields = 4'096;
  Millis HeaderTimeout{3'000}; ///< For the head; twice this for head and body.
  Millis BodyTimeout{60'000};  ///< Caps the latter.
  Millis IdleTimeout{15'000};  ///< Between two messages.
};

/// Why a message is refused: the response status, the invalid part or header,
/// and what is allowed.
struct Refusal {
  uint16_t Status = 0;
  std::string Field;
  std::string Allowed;
};

/// Scans the requests that arrive on one connection and reports a violation as
/// soon as it is visible: a message too large by its announced length, invalid
/// or conflicting lengths, or an incomplete message. Does no I/O.
class RequestScanner {
public:
  enum class Phase : uint8_t { BetweenMessages, Head, Body };

  explicit RequestScanner(TimePoint OpenedAt) : LastBoundary(OpenedAt) {}

  /// Scans the next bytes. Must not be called again after a refusal.
  std::optional<Refusal> feed(std::string_view Bytes,
                              const RequestLimits &Limits, TimePoint Now);
  /// A 408 refusal if the current message has exceeded its timeout.
  std::optional<Refusal> checkTimeout(const RequestLimits &Limits,
                                      TimePoint Now) const;

  Phase phase() const { return CurrentPhase; }
  /// When the current message began; between messages, when the last one ended
  /// or the connection was opened.
  TimePoint lastBoundary() const { return LastBoundary; }
  /// How many bytes of the last `feed` precede the end of the last message that
  /// it completed; 0 if it completed none.
  size_t completeBytes() const { return CompleteBytes; }
  /// Number of messages scanned to their end.
  uint64_t completedMessages() const { return CompletedMessages; }
  /// Memory that the received part of the current message takes: its bytes and
  /// a fixed cost for each header field; 0 between messages.
  size_t heldBytes() const;
  /// The same of each message that the last `feed` completed.
  const std::vector<size_t> &completedSizes() const { return CompletedSizes; }

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
  std::optional<Refusal> countFields(std::string_view HeadPart,
                                     const RequestLimits &Limits);
  void releaseBuffer();

  Phase CurrentPhase = Phase::BetweenMessages;
  TimePoint LastBoundary;
  uint64_t CompletedMessages = 0;
  size_t CompleteBytes = 0;
  std::vector<size_t> CompletedSizes;
  size_t MessageBytes = 0; ///< Received of the current message.
  size_t HeadLines = 0;    ///< Likewise, with trailers.
  size_t Chunks = 0;       ///< Likewise.
  std::string Buffer;      ///< Received part of the head or of a chunk line.
  std::optional<uint64_t> ContentLength;
  bool Chunked = false;
  uint64_t BytesLeft = 0;        ///< Still to come of the body or chunk.
  uint64_t ChunkedBodyBytes = 0; ///< Sum of the chunk sizes so far.
  ChunkPhase CurrentChunkPhase = ChunkPhase::Size;
};

} // namespace daisylanding::http

#endif
