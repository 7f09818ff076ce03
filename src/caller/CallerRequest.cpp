#include "caller/CallerRequest.h"

#include "caller/Responses.h"
#include "config/Fields.h"

#include <fmt/format.h>

#include <charconv>

namespace daisylanding::caller {

namespace {

constexpr std::string_view PathPrefix = "/v1/services/";
constexpr std::string_view PathSuffix = "/requests";
constexpr int64_t MaxDeadlineMs = 3'600'000;

std::string_view parseServiceName(std::string_view Path) {
  if (Path.size() <= PathPrefix.size() + PathSuffix.size() ||
      !Path.starts_with(PathPrefix) || !Path.ends_with(PathSuffix))
    return {};
  Path.remove_prefix(PathPrefix.size());
  Path.remove_suffix(PathSuffix.size());
  return Path;
}

/// Bytes of header names and values, and of the request target.
size_t headerBytes(const http::Request &Incoming) {
  size_t Total = Incoming.Target.size();
  for (const http::Header &Field : Incoming.Headers)
    Total += Field.first.size() + Field.second.size();
  return Total;
}

std::string headerValue(const http::Request &Incoming, std::string_view Name) {
  const std::string *Value = http::findHeader(Incoming.Headers, Name);
  return Value ? *Value : std::string();
}

bool parseDeadline(const std::string &Text, CallerRequest &Parsed) {
  if (Text.empty())
    return true;
  int64_t DeadlineMs = 0;
  const char *End = Text.data() + Text.size();
  auto Conversion = std::from_chars(Text.data(), End, DeadlineMs);
  if (Conversion.ec != std::errc() || Conversion.ptr != End || DeadlineMs < 1 ||
      DeadlineMs > MaxDeadlineMs)
    return false;
  Parsed.TimeLeft = Millis(DeadlineMs);
  return true;
}

bool parseRepeatable(const std::string &Text, CallerRequest &Parsed) {
  Parsed.Repeatable = Text == "yes";
  return Text.empty() || Text == "yes" || Text == "no";
}

/// Returns the first invalid header and what is allowed; nothing if all are
/// valid.
std::optional<std::pair<std::string_view, std::string>>
parseHeaders(const http::Request &Incoming, CallerRequest &Parsed) {
  Parsed.Class = headerValue(Incoming, ClassHeader);
  if (!Parsed.Class.empty() && !config::isName(Parsed.Class))
    return {{ClassHeader, "the name of a class"}};
  if (!parseRepeatable(headerValue(Incoming, RepeatableHeader), Parsed))
    return {{RepeatableHeader, "yes or no"}};
  if (!parseDeadline(headerValue(Incoming, DeadlineHeader), Parsed))
    return {{DeadlineHeader,
             fmt::format("a whole number from 1 to {}", MaxDeadlineMs)}};
  Parsed.IdempotencyKey = headerValue(Incoming, IdempotencyKeyHeader);
  bool NeedsKey = !Parsed.Repeatable || !Parsed.IdempotencyKey.empty();
  if (NeedsKey && !config::isName(Parsed.IdempotencyKey))
    return {{IdempotencyKeyHeader,
             "1 to 128 letters, digits, '.', '_' or '-'; required "
             "unless the request is repeatable"}};
  return std::nullopt;
}

} // namespace

std::optional<CallerRequest> parseCallerRequest(http::Request Incoming,
                                                const CallerLimits &Limits,
                                                http::Response &ErrorResponse) {
  CallerRequest Parsed;
  Parsed.Service = parseServiceName(http::targetPath(Incoming.Target));
  if (!config::isName(Parsed.Service)) {
    ErrorResponse =
        makeRefusedResponse(http::StatusNotFound, ProblemCode::NoSuchPath,
                            "path", "/v1/services/{service}/requests");
    return std::nullopt;
  }
  if (Incoming.Method != "POST") {
    ErrorResponse = makeRefusedResponse(
        http::StatusMethodNotAllowed, ProblemCode::BadMethod, "method", "POST");
    return std::nullopt;
  }
  if (headerBytes(Incoming) > Limits.MaxHeaderBytes) {
    ErrorResponse = makeRefusedResponse(
        http::StatusHeadersTooLarge, ProblemCode::TooLarge, "headers",
        fmt::format("at most {} bytes", Limits.MaxHeaderBytes));
    return std::nullopt;
  }
  if (Incoming.Body.size() > Limits.MaxBodyBytes) {
    ErrorResponse = makeRefusedResponse(
        http::StatusPayloadTooLarge, ProblemCode::TooLarge, "body",
        fmt::format("at most {} bytes", Limits.MaxBodyBytes));
    return std::nullopt;
  }
  if (auto InvalidHeader = parseHeaders(Incoming, Parsed)) {
    ErrorResponse =
        makeRefusedResponse(http::StatusBadRequest, ProblemCode::BadField,
                            InvalidHeader->first, InvalidHeader->second);
    return std::nullopt;
  }
  Parsed.ContentType = headerValue(Incoming, "Content-Type");
  Parsed.Body = std::move(Incoming.Body);
  return Parsed;
}

} // namespace daisylanding::caller
