#ifndef DAISYLANDING_HTTP_MESSAGE_H
#define DAISYLANDING_HTTP_MESSAGE_H

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
  uint64_t ConnectionId = 0; ///< Tells connections of one server apart.
  std::vector<Header> Headers;
  std::string Body;
};

struct Response {
  uint16_t Status = 0;
  std::vector<Header> Headers;
  std::string Body;
};

enum : uint16_t {
  StatusOk = 200,
  StatusAccepted = 202,
  StatusBadRequest = 400,
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

/// The standard's phrase for a status; "Unassigned" for one that is not known.
std::string_view reasonPhrase(uint16_t Status);

/// Header names are compared without case.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// The first header of that name, compared without case; null if absent.
const std::string *findHeader(const std::vector<Header> &Headers,
                              std::string_view Name);

/// The path of a target, without its query.
std::string_view targetPath(std::string_view Target);

/// The decoded value of a query parameter; empty if absent.
std::string queryValue(std::string_view Target, std::string_view Name);

/// Percent-encodes every byte outside the unreserved set.
std::string percentEncode(std::string_view Text);

} // namespace daisylanding::http

#endif
