#include "http/RequestScanner.h"

#include "http/Message.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace daisylanding::http {

namespace {

/// What a parsed header field takes beside its text, in the server's message
/// and in its copy for the handler.
constexpr size_t FieldBytes = 256;

/// What the server's record of a chunk takes beside its text.
constexpr size_t ChunkRecordBytes = 64;

/// Larger buffers are freed at the end of a head or chunk line.
constexpr size_t MaxKeptBufferBytes = 1'024;

/// For a chunk size with its extensions, or for one trailer.
constexpr size_t MaxChunkLineBytes = 1'024;

constexpr std::string_view Methods[] = {"GET",  "POST",    "PUT",  "DELETE",
                                        "HEAD", "OPTIONS", "PATCH"};

Refusal badRequest(std::string Field, std::string Allowed) {
  return {StatusBadRequest, std::move(Field), std::move(Allowed)};
}

std::string_view trim(std::string_view Text) {
  constexpr const char *Whitespace = " \t\r";
  size_t Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

/// Removes the next line from \p Text and returns it without its line ending.
std::string_view popLine(std::string_view &Text) {
  size_t End = Text.find('\n');
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

std::optional<Refusal> checkRequestLine(std::string_view Line) {
  size_t MethodEnd = Line.find(' ');
  size_t TargetEnd = Line.rfind(' ');
  bool WellFormed =
      MethodEnd != std::string_view::npos && TargetEnd > MethodEnd + 1;
  if (!WellFormed)
    return badRequest("request-line", "METHOD TARGET HTTP/1.1");
  std::string_view Version = Line.substr(TargetEnd + 1);
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    return badRequest("version", "HTTP/1.1");
  std::string_view Method = Line.substr(0, MethodEnd);
  if (std::find(std::begin(Methods), std::end(Methods), Method) ==
      std::end(Methods))
    return Refusal{StatusMethodNotAllowed, "method", "POST, GET, DELETE"};
  std::string_view Target =
      Line.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1);
  bool Printable =
      std::all_of(Target.begin(), Target.end(), [](unsigned char Character) {
        return Character > ' ' && Character < 0x7f;
      });
  if (!Printable || (Target.front() != '/' && Target != "*"))
    return badRequest("target", "a path of printable characters");
  return std::nullopt;
}

/// The offset just past the empty line that ends the head; npos if \p Text has
/// none.
size_t findHeadEnd(std::string_view Text, size_t SearchStart) {
  for (size_t LineEnd = Text.find('\n', SearchStart);
       LineEnd != std::string_view::npos;
       LineEnd = Text.find('\n', LineEnd + 1)) {
    std::string_view Following = Text.substr(LineEnd + 1, 2);
    if (Following.substr(0, 1) == "\n")
      return LineEnd + 2;
    if (Following == "\r\n")
      return LineEnd + 3;
  }
  return std::string_view::npos;
}

} // namespace

std::optional<Refusal> RequestScanner::feed(std::string_view Bytes,
                                            const RequestLimits &Limits,
                                            TimePoint Now) {
  size_t BytesFed = Bytes.size();
  CompleteBytes = 0;
  CompletedSizes.clear();
  while (!Bytes.empty()) {
    uint64_t CompletedBefore = CompletedMessages;
    std::optional<Refusal> Error;
    if (CurrentPhase != Phase::Body) {
      Error = consumeHead(Bytes, Limits, Now);
    } else if (Chunked) {
      Error = consumeChunks(Bytes, Limits, Now);
    } else {
      size_t Consumed = std::min<uint64_t>(BytesLeft, Bytes.size());
      Bytes.remove_prefix(Consumed);
      BytesLeft -= Consumed;
      MessageBytes += Consumed;
      if (BytesLeft == 0)
        completeMessage(Now);
    }
    if (Error)
      return Error;
    if (CompletedMessages > CompletedBefore)
      CompleteBytes = BytesFed - Bytes.size();
  }
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::checkTimeout(const RequestLimits &Limits,
                                                    TimePoint Now) const {
  auto TimeoutRefusal = [](const char *Field, Millis Limit) {
    return Refusal{StatusRequestTimeout, Field,
                   fmt::format("whole within {} ms", Limit.count())};
  };
  if (CurrentPhase == Phase::Head && Now > LastBoundary + Limits.HeaderTimeout)
    return TimeoutRefusal("head", Limits.HeaderTimeout);
  Millis BodyTimeout = std::min(2 * Limits.HeaderTimeout, Limits.BodyTimeout);
  if (CurrentPhase == Phase::Body && Now > LastBoundary + BodyTimeout)
    return TimeoutRefusal("body", BodyTimeout);
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::consumeHead(std::string_view &Bytes,
                                                   const RequestLimits &Limits,
                                                   TimePoint Now) {
  if (CurrentPhase == Phase::BetweenMessages) {
    // Skip empty lines before a message.
    while (!Bytes.empty() && (Bytes.front() == '\r' || Bytes.front() == '\n'))
      Bytes.remove_prefix(1);
    if (Bytes.empty())
      return std::nullopt;
    CurrentPhase = Phase::Head;
    LastBoundary = Now;
    MessageBytes = 0;
    HeadLines = 0;
    Chunks = 0;
    Buffer.clear();
  }
  constexpr size_t TerminatorOverlap = 3; ///< It may be split across reads.
  size_t SearchStart =
      Buffer.size() > TerminatorOverlap ? Buffer.size() - TerminatorOverlap : 0;
  size_t BytesBefore = Buffer.size();
  Buffer.append(Bytes.substr(0, Limits.MaxHeaderBytes + 1 - BytesBefore));
  size_t HeadEnd = findHeadEnd(Buffer, SearchStart);
  std::string_view HeadPart = Buffer;
  HeadPart = HeadPart.substr(0, HeadEnd).substr(BytesBefore);
  MessageBytes += HeadPart.size();
  if (auto Error = countFields(HeadPart, Limits))
    return Error;
  if (HeadEnd == std::string::npos) {
    if (Buffer.size() > Limits.MaxHeaderBytes)
      return Refusal{StatusHeadersTooLarge, "headers",
                     fmt::format("at most {} bytes", Limits.MaxHeaderBytes)};
    Bytes.remove_prefix(Buffer.size() - BytesBefore);
    return std::nullopt;
  }
  Bytes.remove_prefix(HeadEnd - BytesBefore);
  Buffer.resize(HeadEnd);
  if (auto Error = parseHead(Limits))
    return Error;
  BytesLeft = ContentLength.value_or(0);
  CurrentPhase = Phase::Body;
  if (!Chunked && BytesLeft == 0)
    completeMessage(Now);
  releaseBuffer();
  return std::nullopt;
}

/// Counts the lines of the next part of a head.
std::optional<Refusal>
RequestScanner::countFields(std::string_view HeadPart,
                            const RequestLimits &Limits) {
  HeadLines +=
      static_cast<size_t>(std::count(HeadPart.begin(), HeadPart.end(), '\n'));
  constexpr size_t OtherLines = 2; // The request line and the empty one.
  if (HeadLines <= Limits.MaxHeaderFields + OtherLines)
    return std::nullopt;
  return Refusal{StatusHeadersTooLarge, "headers",
                 fmt::format("at most {} fields", Limits.MaxHeaderFields)};
}

void RequestScanner::releaseBuffer() {
  if (Buffer.capacity() > MaxKeptBufferBytes)
    Buffer = std::string();
  Buffer.clear();
}

size_t RequestScanner::heldBytes() const {
  if (CurrentPhase == Phase::BetweenMessages)
    return 0;
  return MessageBytes + HeadLines * FieldBytes + Chunks * ChunkRecordBytes;
}

std::optional<Refusal> RequestScanner::parseHead(const RequestLimits &Limits) {
  ContentLength.reset();
  Chunked = false;
  ChunkedBodyBytes = 0;
  CurrentChunkPhase = ChunkPhase::Size;
  std::string_view Unparsed = Buffer;
  if (auto Error = checkRequestLine(popLine(Unparsed)))
    return Error;
  for (std::string_view Line = popLine(Unparsed); !Line.empty();
       Line = popLine(Unparsed)) {
    if (auto Error = parseHeader(Line, Limits))
      return Error;
  }
  if (Chunked && ContentLength)
    return badRequest("transfer-encoding", "not together with content-length");
  return std::nullopt;
}

std::optional<Refusal>
RequestScanner::parseHeader(std::string_view Line,
                            const RequestLimits &Limits) {
  size_t Colon = Line.find(':');
  std::string_view Name = Line.substr(0, Colon);
  bool ValidName = Colon != std::string_view::npos && !Name.empty() &&
                   Name.find_first_of(" \t") == std::string_view::npos;
  if (!ValidName)
    return badRequest("headers", "NAME: VALUE in each line");
  std::string_view Value = trim(Line.substr(Colon + 1));
  if (sameHeaderName(Name, "content-length"))
    return parseContentLength(Value, Limits);
  if (!sameHeaderName(Name, "transfer-encoding"))
    return std::nullopt;
  if (Chunked || !sameHeaderName(Value, "chunked"))
    return badRequest("transfer-encoding", "chunked, once");
  Chunked = true;
  return std::nullopt;
}

std::optional<Refusal>
RequestScanner::parseContentLength(std::string_view Value,
                                   const RequestLimits &Limits) {
  if (ContentLength)
    return badRequest("content-length", "given once");
  uint64_t Length = 0;
  auto [End, Failure] =
      std::from_chars(Value.data(), Value.data() + Value.size(), Length);
  bool OnlyDigits = !Value.empty() && End == Value.data() + Value.size();
  if (Failure == std::errc::invalid_argument || !OnlyDigits)
    return badRequest("content-length", "a whole number from 0");
  if (Failure != std::errc() || Length > Limits.MaxBodyBytes)
    return Refusal{StatusPayloadTooLarge, "body",
                   fmt::format("at most {} bytes", Limits.MaxBodyBytes)};
  ContentLength = Length;
  return std::nullopt;
}

/// Appends to `Buffer` up to the end of the line; returns whether the line is
/// complete.
bool RequestScanner::consumeLine(std::string_view &Bytes) {
  size_t LineEnd = Bytes.find('\n');
  size_t Consumed =
      LineEnd == std::string_view::npos ? Bytes.size() : LineEnd + 1;
  Buffer.append(Bytes.substr(0, std::min(Consumed, MaxChunkLineBytes + 1)));
  Bytes.remove_prefix(Consumed);
  MessageBytes += Consumed;
  return LineEnd != std::string_view::npos;
}

std::optional<Refusal>
RequestScanner::consumeChunks(std::string_view &Bytes,
                              const RequestLimits &Limits, TimePoint Now) {
  if (CurrentChunkPhase == ChunkPhase::Data) {
    size_t Consumed = std::min<uint64_t>(BytesLeft, Bytes.size());
    Bytes.remove_prefix(Consumed);
    BytesLeft -= Consumed;
    MessageBytes += Consumed;
    if (BytesLeft == 0)
      CurrentChunkPhase = ChunkPhase::DataEnd;
    return std::nullopt;
  }
  bool LineComplete = consumeLine(Bytes);
  if (Buffer.size() > MaxChunkLineBytes)
    return badRequest(
        "chunk", fmt::format("lines of at most {} bytes", MaxChunkLineBytes));
  if (!LineComplete)
    return std::nullopt;
  bool BlankLine =
      trim(std::string_view(Buffer).substr(0, Buffer.size() - 1)).empty();
  std::optional<Refusal> Error;
  if (CurrentChunkPhase == ChunkPhase::Size) {
    Error = parseChunkSize(Limits);
  } else if (CurrentChunkPhase == ChunkPhase::DataEnd) {
    if (!BlankLine)
      Error = badRequest("chunk", "its size in bytes, then an end of line");
    CurrentChunkPhase = ChunkPhase::Size;
  } else if (BlankLine) {
    completeMessage(Now);
  } else {
    Error = countFields("\n", Limits);
  }
  releaseBuffer();
  return Error;
}

std::optional<Refusal>
RequestScanner::parseChunkSize(const RequestLimits &Limits) {
  constexpr int Hexadecimal = 16;
  std::string_view Digits = Buffer;
  Digits = trim(Digits.substr(0, Digits.find_first_of(";\n")));
  auto [End, Failure] = std::from_chars(
      Digits.data(), Digits.data() + Digits.size(), BytesLeft, Hexadecimal);
  bool OnlyDigits = !Digits.empty() && End == Digits.data() + Digits.size();
  if (Failure == std::errc::invalid_argument || !OnlyDigits)
    return badRequest("chunk", "its size in hexadecimal digits");
  bool TooLarge = Failure != std::errc() || BytesLeft > Limits.MaxBodyBytes;
  ChunkedBodyBytes += TooLarge ? 0 : BytesLeft;
  ++Chunks;
  if (TooLarge || ChunkedBodyBytes > Limits.MaxBodyBytes)
    return Refusal{StatusPayloadTooLarge, "body",
                   fmt::format("at most {} bytes", Limits.MaxBodyBytes)};
  CurrentChunkPhase = BytesLeft == 0 ? ChunkPhase::Trailer : ChunkPhase::Data;
  return std::nullopt;
}

void RequestScanner::completeMessage(TimePoint Now) {
  CompletedSizes.push_back(heldBytes());
  CurrentPhase = Phase::BetweenMessages;
  LastBoundary = Now;
  ++CompletedMessages;
}

} // namespace daisylanding::http
