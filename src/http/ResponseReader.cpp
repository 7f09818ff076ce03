#include "http/ResponseReader.h"

namespace daisylanding::http {

namespace {

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;

/// What the parser's callbacks return.
enum : int {
  Proceed = 0,
  SkipBody = 1, ///< From onHeadersComplete.
  Refuse = -1,
};

constexpr uint64_t NoContentLength = UINT64_MAX;

} // namespace

ResponseReader::ResponseReader(size_t MaxBodyBytes)
    : MaxBodyBytes(MaxBodyBytes) {
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
}

const http_parser_settings &ResponseReader::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Callbacks{};
    http_parser_settings_init(&Callbacks);
    Callbacks.on_header_field = onHeaderField;
    Callbacks.on_header_value = onHeaderValue;
    Callbacks.on_headers_complete = onHeadersComplete;
    Callbacks.on_body = onBody;
    Callbacks.on_message_complete = onMessageComplete;
    return Callbacks;
  }();
  return Settings;
}

ResponseReader::State ResponseReader::read(std::span<const char> Bytes) {
  // The parser takes an empty piece for the end of the connection.
  if (Bytes.empty())
    return Reached;
  if (Reached != State::Incomplete) {
    IsReusable = false;
    return Reached;
  }
  size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  BytesRead += Parsed;
  bool IsRefused = Reached == State::Incomplete &&
                   (HTTP_PARSER_ERRNO(&Parser) != HPE_OK || Parser.upgrade);
  if (IsRefused || isTooLong())
    Reached = State::Malformed;
  // Bytes after the response answer no request.
  IsReusable =
      IsReusable && Reached == State::Complete && Parsed == Bytes.size();
  return Reached;
}

/// Chunks and interim responses can go on for ever without a byte of the body.
bool ResponseReader::isTooLong() const {
  return BytesRead / MaxChunkedSizePerByte > MaxHeaderBytes + MaxBodyBytes;
}

bool ResponseReader::countHeaderBytes(size_t Size) {
  HeaderBytes += Size;
  return HeaderBytes <= MaxHeaderBytes;
}

int ResponseReader::onHeaderField(http_parser *Parser, const char *Data,
                                  size_t Size) {
  ResponseReader &Reader = self(Parser);
  bool HasSpace = std::string_view(Data, Size).find(' ') != std::string::npos;
  if (HasSpace || !Reader.countHeaderBytes(Size))
    return Refuse;
  auto &Headers = Reader.Received.Headers;
  if (Headers.empty() || Reader.InHeaderValue)
    Headers.emplace_back();
  Reader.InHeaderValue = false;
  Headers.back().first.append(Data, Size);
  return Proceed;
}

int ResponseReader::onHeaderValue(http_parser *Parser, const char *Data,
                                  size_t Size) {
  ResponseReader &Reader = self(Parser);
  if (!Reader.countHeaderBytes(Size))
    return Refuse;
  Reader.InHeaderValue = true;
  Reader.Received.Headers.back().second.append(Data, Size);
  return Proceed;
}

int ResponseReader::onHeadersComplete(http_parser *Parser) {
  ResponseReader &Reader = self(Parser);
  // A trailer is a header of its own.
  Reader.InHeaderValue = true;
  if (Parser->status_code < FirstStatus)
    return Refuse;
  if (Parser->status_code < FirstFinalStatus) {
    Reader.Received.Headers.clear();
    return SkipBody;
  }
  bool HasLength = Parser->content_length != NoContentLength;
  if (HasLength && Parser->content_length > Reader.MaxBodyBytes)
    return Refuse;
  return Proceed;
}

int ResponseReader::onBody(http_parser *Parser, const char *Data, size_t Size) {
  ResponseReader &Reader = self(Parser);
  std::string &Body = Reader.Received.Body;
  if (Body.size() + Size > Reader.MaxBodyBytes)
    return Refuse;
  Body.append(Data, Size);
  return Proceed;
}

int ResponseReader::onMessageComplete(http_parser *Parser) {
  ResponseReader &Reader = self(Parser);
  if (Parser->status_code < FirstFinalStatus)
    return Proceed;
  Reader.Received.Status = static_cast<uint16_t>(Parser->status_code);
  Reader.Reached = State::Complete;
  Reader.IsReusable = http_should_keep_alive(Parser) != 0;
  // Nothing further is read.
  http_parser_pause(Parser, 1);
  return Proceed;
}

} // namespace daisylanding::http
