#include "http/ResponseReader.h"

namespace daisylanding::http {

namespace {

constexpr unsigned FirstFinalStatus = 200;

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
  size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (IsComplete) {
    // Bytes after the response answer no request.
    IsReusable = IsReusable && Parsed == Bytes.size();
    return State::Complete;
  }
  bool IsBroken = HTTP_PARSER_ERRNO(&Parser) != HPE_OK || Parser.upgrade != 0;
  return IsBroken ? State::Malformed : State::Incomplete;
}

int ResponseReader::onHeaderField(http_parser *Parser, const char *Data,
                                  size_t Size) {
  ResponseReader &Reader = self(Parser);
  auto &Headers = Reader.Received.Headers;
  if (Headers.empty() || Reader.InHeaderValue)
    Headers.emplace_back();
  Reader.InHeaderValue = false;
  Headers.back().first.append(Data, Size);
  return 0;
}

int ResponseReader::onHeaderValue(http_parser *Parser, const char *Data,
                                  size_t Size) {
  ResponseReader &Reader = self(Parser);
  Reader.InHeaderValue = true;
  Reader.Received.Headers.back().second.append(Data, Size);
  return 0;
}

int ResponseReader::onHeadersComplete(http_parser *Parser) {
  ResponseReader &Reader = self(Parser);
  // A trailer is a header of its own.
  Reader.InHeaderValue = true;
  if (Parser->status_code < FirstFinalStatus)
    Reader.Received.Headers.clear();
  return 0;
}

int ResponseReader::onBody(http_parser *Parser, const char *Data, size_t Size) {
  ResponseReader &Reader = self(Parser);
  std::string &Body = Reader.Received.Body;
  if (Body.size() + Size > Reader.MaxBodyBytes)
    return 1;
  Body.append(Data, Size);
  return 0;
}

int ResponseReader::onMessageComplete(http_parser *Parser) {
  ResponseReader &Reader = self(Parser);
  if (Parser->status_code < FirstFinalStatus)
    return 0;
  Reader.Received.Status = static_cast<uint16_t>(Parser->status_code);
  Reader.IsComplete = true;
  Reader.IsReusable = http_should_keep_alive(Parser) != 0;
  // Nothing further is read.
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace daisylanding::http
