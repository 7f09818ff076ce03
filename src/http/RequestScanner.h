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
  enum class Part : uint8_t { Between, Head, Body };

  explicit RequestScanner(TimePoint Opened) : Since(Opened) {}

  /// Takes the next bytes; after a refusal no more may be fed.
  std::optional<Refusal> feed(std::string_view Bytes,
                              const RequestLimits &Limits, TimePoint Now);
  /// Whether what was begun has taken too long.
  std::optional<Refusal> late(const RequestLimits &Limits, TimePoint Now) const;

  Part part() const { return At; }
  /// When the message began, or the one before it ended.
  TimePoint since() const { return Since; }
  /// Of the bytes fed last: up to the end of the last whole message.
  size_t wholeBytes() const { return Whole; }
  /// Messages that were read whole.
  uint64_t complete() const { return Complete; }

private:
  enum class Chunk : uint8_t { Size, Data, DataEnd, Trailer };

  std::optional<Refusal> takeHead(std::string_view &Bytes,
                                  const RequestLimits &Limits, TimePoint Now);
  std::optional<Refusal> readHead(const RequestLimits &Limits);
  std::optional<Refusal> readHeader(std::string_view Line,
                                    const RequestLimits &Limits);
  std::optional<Refusal> readLength(std::string_view Value,
                                    const RequestLimits &Limits);
  std::optional<Refusal> takeChunks(std::string_view &Bytes,
                                    const RequestLimits &Limits, TimePoint Now);
  std::optional<Refusal> readChunkSize(const RequestLimits &Limits);
  bool takeLine(std::string_view &Bytes);
  void finish(TimePoint Now);

  Part At = Part::Between;
  TimePoint Since;
  uint64_t Complete = 0;
  size_t Whole = 0;
  std::string Text; ///< The head, or a line between chunks, so far.
  std::optional<uint64_t> Length;
  bool Chunked = false;
  uint64_t Left = 0;      ///< Of the body, or of the chunk.
  uint64_t BodyBytes = 0; ///< Of chunks so far.
  Chunk ChunkAt = Chunk::Size;
};

} // namespace daisylanding::http

#endif
