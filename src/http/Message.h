#ifndef DAISYLANDING_HTTP_MESSAGE_H
#define DAISYLANDING_HTTP_MESSAGE_H

#include "common/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisylanding::http {

using Header = std::pair<std::string, std::string>;

struct Request {
  std::string Method;
  std::string Target;        ///< Path and query, as sent.
  uint64_t ConnectionId = 0; ///< Unique among connections of one server.
  std::vector<Header> Headers;
  std::string Body;
};

struct Response {
  uint16_t Status = 0;
  std::vector<Header> Headers;
  std::string Body;
  TimePoint BeganAt{}; ///< Received responses: arrival of the first byte.
};

enum : uint16_t {
  StatusOk = 200,
  StatusAccepted = 202,
  StatusBadRequest = 400,
  StatusUnauthorized = 401,
  StatusNotFound = 404,
  StatusMethodNotAllowed = 405,
  StatusRequestTimeout = 408,
  StatusConflict = 409,
  StatusGone = 410,
  StatusPreconditionFailed = 412,
  StatusPayloadTooLarge = 413,
  StatusMisdirected = 421,
  StatusUnprocessable = 422,
  StatusTooManyRequests = 429,
  StatusHeadersTooLarge = 431,
  StatusInternalError = 500,
  StatusBadGateway = 502,
  StatusUnavailable = 503,
  StatusGatewayTimeout = 504,
};

/// The standard reason phrase; "Unassigned" for an unknown status.
std::string_view reasonPhrase(uint16_t Status);

/// Compares header names case-insensitively.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// The value of the first header with this name (case-insensitive); null if
/// absent.
const std::string *findHeader(const std::vector<Header> &Headers,
                              std::string_view Name);

/// The token of the `Authorization` header with the scheme `Bearer`
/// (RFC 6750); empty if there is none.
std::string_view bearerToken(const std::vector<Header> &Headers);

/// The path of a request target, without its query.
std::string_view targetPath(std::string_view Target);

/// The decoded value of a query parameter; empty if absent.
std::string queryValue(std::string_view Target, std::string_view Name);

/// Percent-encodes every byte outside the unreserved set of RFC 3986.
std::string percentEncode(std::string_view Text);

} // namespace daisylanding::http

#endif
