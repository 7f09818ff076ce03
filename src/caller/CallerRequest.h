#ifndef DAISYLANDING_CALLER_CALLERREQUEST_H
#define DAISYLANDING_CALLER_CALLERREQUEST_H

#include "common/Time.h"
#include "http/Message.h"

#include <optional>
#include <string>

namespace daisylanding::caller {

/// A validated request from a caller.
struct CallerRequest {
  std::string Service;
  std::string Class; ///< Empty for the service's default class.
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

/// Parses and validates a request. If it is invalid, returns nothing and sets
/// \p ErrorResponse to a 4xx that names the field.
std::optional<CallerRequest> parseCallerRequest(http::Request Incoming,
                                                const CallerLimits &Limits,
                                                http::Response &ErrorResponse);

} // namespace daisylanding::caller

#endif
