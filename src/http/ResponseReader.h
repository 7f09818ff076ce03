#ifndef DAISYLANDING_HTTP_RESPONSEREADER_H
#define DAISYLANDING_HTTP_RESPONSEREADER_H

#include "http/Message.h"

#include <http_parser.h>

#include <span>

namespace daisylanding::http {

/// Reads one response from the bytes of a connection. Skips interim responses
/// (1xx). The result doesn't depend on how the bytes are divided. No I/O.
class ResponseReader {
public:
  enum class State {
    Incomplete,
    Complete,
    Malformed, ///< Also of a response that is too long.
  };

  /// Of the names and values of all headers, those of interim responses and
  /// trailers included.
  static constexpr size_t MaxHeaderBytes = 64 << 10;
  /// A chunk of one byte takes six.
  static constexpr size_t MaxChunkedSizePerByte = 8;

  explicit ResponseReader(size_t MaxBodyBytes);
  ResponseReader(const ResponseReader &) = delete;
  ResponseReader &operator=(const ResponseReader &) = delete;

  State read(std::span<const char> Bytes);
  /// The connection may carry a further call; of a complete response.
  bool mayReuseConnection() const { return IsReusable; }
  Response &response() { return Received; }
  const Response &response() const { return Received; }

private:
  static int onHeaderField(http_parser *Parser, const char *Data, size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *Data, size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *Data, size_t Size);
  static int onMessageComplete(http_parser *Parser);
  static ResponseReader &self(http_parser *Parser) {
    return *static_cast<ResponseReader *>(Parser->data);
  }
  static const http_parser_settings &callbacks();

  bool countHeaderBytes(size_t Size);
  bool isTooLong() const;

  http_parser Parser{};
  size_t MaxBodyBytes;
  size_t HeaderBytes = 0;
  size_t BytesRead = 0;
  Response Received;
  bool InHeaderValue = false;
  State Reached = State::Incomplete;
  bool IsReusable = false;
};

} // namespace daisylanding::http

#endif
