#include "http/RequestScanner.h"

#include "http/Message.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace daisylanding::http {

namespace {

/// A chunk's size with its extensions, or one trailer.
constexpr size_t MaxChunkLine = 1'024;

constexpr std::string_view Methods[] = {"GET",  "POST",    "PUT",  "DELETE",
                                        "HEAD", "OPTIONS", "PATCH"};

Refusal bad(std::string Field, std::string Allowed) {
  return {StatusBadRequest, std::move(Field), std::move(Allowed)};
}

std::string_view trimmed(std::string_view Text) {
  constexpr const char *Blanks = " \t\r";
  size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Blanks) - Begin + 1);
}

/// The next line without its end; \p Text goes on behind it.
std::string_view nextLine(std::string_view &Text) {
  size_t End = Text.find('\n');
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

std::optional<Refusal> checkRequestLine(std::string_view Line) {
  size_t First = Line.find(' ');
  size_t Second = Line.rfind(' ');
  bool Whole = First != std::string_view::npos && Second > First + 1;
  if (!Whole)
    return bad("request-line", "METHOD TARGET HTTP/1.1");
  std::string_view Version = Line.substr(Second + 1);
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    return bad("version", "HTTP/1.1");
  std::string_view Method = Line.substr(0, First);
  if (std::find(std::begin(Methods), std::end(Methods), Method) ==
      std::end(Methods))
    return Refusal{StatusMethodNotAllowed, "method", "POST, GET, DELETE"};
  std::string_view Target = Line.substr(First + 1, Second - First - 1);
  bool Printable =
      std::all_of(Target.begin(), Target.end(),
                  [](unsigned char Each) { return Each > ' ' && Each < 0x7f; });
  if (!Printable || (Target.front() != '/' && Target != "*"))
    return bad("target", "a path of printable characters");
  return std::nullopt;
}

/// The end of a head in \p Text; npos while it is not there.
size_t endOfHead(std::string_view Text, size_t From) {
  for (size_t At = Text.find('\n', From); At != std::string_view::npos;
       At = Text.find('\n', At + 1)) {
    std::string_view Next = Text.substr(At + 1, 2);
    if (Next.substr(0, 1) == "\n")
      return At + 2;
    if (Next == "\r\n")
      return At + 3;
  }
  return std::string_view::npos;
}

} // namespace

std::optional<Refusal> RequestScanner::feed(std::string_view Bytes,
                                            const RequestLimits &Limits,
                                            TimePoint Now) {
  size_t Fed = Bytes.size();
  Whole = 0;
  while (!Bytes.empty()) {
    uint64_t Before = Complete;
    std::optional<Refusal> Wrong;
    if (At != Part::Body) {
      Wrong = takeHead(Bytes, Limits, Now);
    } else if (Chunked) {
      Wrong = takeChunks(Bytes, Limits, Now);
    } else {
      size_t Taken = std::min<uint64_t>(Left, Bytes.size());
      Bytes.remove_prefix(Taken);
      Left -= Taken;
      if (Left == 0)
        finish(Now);
    }
    if (Wrong)
      return Wrong;
    if (Complete > Before)
      Whole = Fed - Bytes.size();
  }
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::late(const RequestLimits &Limits,
                                            TimePoint Now) const {
  auto Told = [](const char *Field, Millis Longest) {
    return Refusal{StatusRequestTimeout, Field,
                   fmt::format("whole within {} ms", Longest.count())};
  };
  if (At == Part::Head && Now > Since + Limits.HeaderTimeout)
    return Told("head", Limits.HeaderTimeout);
  if (At == Part::Body && Now > Since + 2 * Limits.HeaderTimeout)
    return Told("body", 2 * Limits.HeaderTimeout);
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::takeHead(std::string_view &Bytes,
                                                const RequestLimits &Limits,
                                                TimePoint Now) {
  if (At == Part::Between) {
    // Empty lines before a message are passed over.
    while (!Bytes.empty() && (Bytes.front() == '\r' || Bytes.front() == '\n'))
      Bytes.remove_prefix(1);
    if (Bytes.empty())
      return std::nullopt;
    At = Part::Head;
    Since = Now;
    Text.clear();
  }
  constexpr size_t EndBytes = 3; ///< It may be parted by reads.
  size_t From = Text.size() > EndBytes ? Text.size() - EndBytes : 0;
  size_t Before = Text.size();
  Text.append(Bytes.substr(0, Limits.MaxHeaderBytes + 1 - Before));
  size_t End = endOfHead(Text, From);
  if (End == std::string::npos) {
    if (Text.size() > Limits.MaxHeaderBytes)
      return Refusal{StatusHeadersTooLarge, "headers",
                     fmt::format("at most {} bytes", Limits.MaxHeaderBytes)};
    Bytes.remove_prefix(Text.size() - Before);
    return std::nullopt;
  }
  Bytes.remove_prefix(End - Before);
  Text.resize(End);
  if (auto Wrong = readHead(Limits))
    return Wrong;
  Left = Length.value_or(0);
  At = Part::Body;
  if (!Chunked && Left == 0)
    finish(Now);
  Text.clear();
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::readHead(const RequestLimits &Limits) {
  Length.reset();
  Chunked = false;
  BodyBytes = 0;
  ChunkAt = Chunk::Size;
  std::string_view Rest = Text;
  if (auto Wrong = checkRequestLine(nextLine(Rest)))
    return Wrong;
  for (std::string_view Line = nextLine(Rest); !Line.empty();
       Line = nextLine(Rest)) {
    if (auto Wrong = readHeader(Line, Limits))
      return Wrong;
  }
  if (Chunked && Length)
    return bad("transfer-encoding", "not together with content-length");
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::readHeader(std::string_view Line,
                                                  const RequestLimits &Limits) {
  size_t Colon = Line.find(':');
  std::string_view Name = Line.substr(0, Colon);
  bool Named = Colon != std::string_view::npos && !Name.empty() &&
               Name.find_first_of(" \t") == std::string_view::npos;
  if (!Named)
    return bad("headers", "NAME: VALUE in each line");
  std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (sameHeaderName(Name, "content-length"))
    return readLength(Value, Limits);
  if (!sameHeaderName(Name, "transfer-encoding"))
    return std::nullopt;
  if (Chunked || !sameHeaderName(Value, "chunked"))
    return bad("transfer-encoding", "chunked, once");
  Chunked = true;
  return std::nullopt;
}

std::optional<Refusal> RequestScanner::readLength(std::string_view Value,
                                                  const RequestLimits &Limits) {
  if (Length)
    return bad("content-length", "given once");
  uint64_t Number = 0;
  auto [End, Failure] =
      std::from_chars(Value.data(), Value.data() + Value.size(), Number);
  bool Digits = !Value.empty() && End == Value.data() + Value.size();
  if (Failure == std::errc::invalid_argument || !Digits)
    return bad("content-length", "a whole number from 0");
  if (Failure != std::errc() || Number > Limits.MaxBodyBytes)
    return Refusal{StatusPayloadTooLarge, "body",
                   fmt::format("at most {} bytes", Limits.MaxBodyBytes)};
  Length = Number;
  return std::nullopt;
}

/// Adds to `Text` up to the end of a line; whether it is there.
bool RequestScanner::takeLine(std::string_view &Bytes) {
  size_t End = Bytes.find('\n');
  size_t Taken = End == std::string_view::npos ? Bytes.size() : End + 1;
  Text.append(Bytes.substr(0, std::min(Taken, MaxChunkLine + 1)));
  Bytes.remove_prefix(Taken);
  return End != std::string_view::npos;
}

std::optional<Refusal> RequestScanner::takeChunks(std::string_view &Bytes,
                                                  const RequestLimits &Limits,
                                                  TimePoint Now) {
  if (ChunkAt == Chunk::Data) {
    size_t Taken = std::min<uint64_t>(Left, Bytes.size());
    Bytes.remove_prefix(Taken);
    Left -= Taken;
    if (Left == 0)
      ChunkAt = Chunk::DataEnd;
    return std::nullopt;
  }
  bool Whole = takeLine(Bytes);
  if (Text.size() > MaxChunkLine)
    return bad("chunk", fmt::format("lines of at most {} bytes", MaxChunkLine));
  if (!Whole)
    return std::nullopt;
  bool Empty =
      trimmed(std::string_view(Text).substr(0, Text.size() - 1)).empty();
  std::optional<Refusal> Wrong;
  if (ChunkAt == Chunk::Size) {
    Wrong = readChunkSize(Limits);
  } else if (ChunkAt == Chunk::DataEnd) {
    if (!Empty)
      Wrong = bad("chunk", "its size in bytes, then an end of line");
    ChunkAt = Chunk::Size;
  } else if (Empty) {
    finish(Now);
  }
  Text.clear();
  return Wrong;
}

std::optional<Refusal>
RequestScanner::readChunkSize(const RequestLimits &Limits) {
  constexpr int Hexadecimal = 16;
  std::string_view Digits = Text;
  Digits = trimmed(Digits.substr(0, Digits.find_first_of(";\n")));
  auto [End, Failure] = std::from_chars(
      Digits.data(), Digits.data() + Digits.size(), Left, Hexadecimal);
  bool Number = !Digits.empty() && End == Digits.data() + Digits.size();
  if (Failure == std::errc::invalid_argument || !Number)
    return bad("chunk", "its size in hexadecimal digits");
  bool Large = Failure != std::errc() || Left > Limits.MaxBodyBytes;
  BodyBytes += Large ? 0 : Left;
  if (Large || BodyBytes > Limits.MaxBodyBytes)
    return Refusal{StatusPayloadTooLarge, "body",
                   fmt::format("at most {} bytes", Limits.MaxBodyBytes)};
  ChunkAt = Left == 0 ? Chunk::Trailer : Chunk::Data;
  return std::nullopt;
}

void RequestScanner::finish(TimePoint Now) {
  At = Part::Between;
  Since = Now;
  ++Complete;
}

} // namespace daisylanding::http
