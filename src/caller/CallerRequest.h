#ifndef DAISYLANDING_CALLER_CALLERREQUEST_H
#define DAISYLANDING_CALLER_CALLERREQUEST_H

#include "common/Time.h"
#include "http/Message.h"

#include <optional>
#include <string>

namespace daisylanding::caller {

/// A caller's request after its checks.
struct CallerRequest {
  std::string Service;
  std::string Class; ///< Empty: the service's default class.
  std::string IdempotencyKey;
  bool Repeatable = false;
  std::optional<Millis> TimeLeft;
  std::string ContentType;
  std::string Body;
};

struct CallerLimits {
  size_t MaxBodyBytes = 1 << 20;
  size_t MaxHeaderBytes = 8'192;
};

/// Reads and checks a request. On a problem nothing is returned and
/// \p Refusal holds the 4xx that names the field.
std::optional<CallerRequest> parseCallerRequest(http::Request Incoming,
                                                const CallerLimits &Limits,
                                                http::Response &ErrorResponse);

} // namespace daisylanding::caller

#endif
