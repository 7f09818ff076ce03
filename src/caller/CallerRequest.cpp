#include "caller/CallerRequest.h"

#include "caller/Answers.h"
#include "config/Fields.h"

#include <fmt/format.h>

#include <charconv>

namespace daisylanding::caller {

namespace {

constexpr std::string_view PathStart = "/v1/services/";
constexpr std::string_view PathEnd = "/requests";
constexpr int64_t MaxDeadlineMs = 3'600'000;

std::string_view serviceOf(std::string_view Path) {
  if (Path.size() <= PathStart.size() + PathEnd.size() ||
      !Path.starts_with(PathStart) || !Path.ends_with(PathEnd))
    return {};
  Path.remove_prefix(PathStart.size());
  Path.remove_suffix(PathEnd.size());
  return Path;
}

size_t headerBytes(const http::Request &Incoming) {
  size_t Sum = Incoming.Target.size();
  for (const http::Header &Each : Incoming.Headers)
    Sum += Each.first.size() + Each.second.size();
  return Sum;
}

std::string headerText(const http::Request &Incoming, std::string_view Name) {
  const std::string *Value = http::findHeader(Incoming.Headers, Name);
  return Value ? *Value : std::string();
}

bool readDeadline(const std::string &Text, CallerRequest &Out) {
  if (Text.empty())
    return true;
  int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Number < 1 ||
      Number > MaxDeadlineMs)
    return false;
  Out.TimeLeft = Millis(Number);
  return true;
}

bool readRepeatable(const std::string &Text, CallerRequest &Out) {
  Out.Repeatable = Text == "yes";
  return Text.empty() || Text == "yes" || Text == "no";
}

/// The first header that breaks a rule, and what is allowed.
std::optional<std::pair<std::string_view, std::string>>
readHeaders(const http::Request &Incoming, CallerRequest &Out) {
  Out.Class = headerText(Incoming, ClassHeader);
  if (!Out.Class.empty() && !config::isName(Out.Class))
    return {{ClassHeader, "the name of a class"}};
  if (!readRepeatable(headerText(Incoming, RepeatableHeader), Out))
    return {{RepeatableHeader, "yes or no"}};
  if (!readDeadline(headerText(Incoming, DeadlineHeader), Out))
    return {{DeadlineHeader,
             fmt::format("a whole number from 1 to {}", MaxDeadlineMs)}};
  Out.IdempotencyKey = headerText(Incoming, KeyHeader);
  bool NeedsKey = !Out.Repeatable || !Out.IdempotencyKey.empty();
  if (NeedsKey && !config::isName(Out.IdempotencyKey))
    return {{KeyHeader, "1 to 128 letters, digits, '.', '_' or '-'; required "
                        "unless the request is repeatable"}};
  return std::nullopt;
}

} // namespace

std::optional<CallerRequest> parseCallerRequest(http::Request Incoming,
                                                const CallerLimits &Limits,
                                                http::Response &Refusal) {
  CallerRequest Out;
  Out.Service = serviceOf(http::pathOf(Incoming.Target));
  if (!config::isName(Out.Service)) {
    Refusal = refused(http::StatusNotFound, ProblemCode::NoSuchPath, "path",
                      "/v1/services/{service}/requests");
    return std::nullopt;
  }
  if (Incoming.Method != "POST") {
    Refusal = refused(http::StatusMethodNotAllowed, ProblemCode::BadMethod,
                      "method", "POST");
    return std::nullopt;
  }
  if (headerBytes(Incoming) > Limits.MaxHeaderBytes) {
    Refusal =
        refused(http::StatusHeadersTooLarge, ProblemCode::TooLarge, "headers",
                fmt::format("at most {} bytes", Limits.MaxHeaderBytes));
    return std::nullopt;
  }
  if (Incoming.Body.size() > Limits.MaxBodyBytes) {
    Refusal =
        refused(http::StatusPayloadTooLarge, ProblemCode::TooLarge, "body",
                fmt::format("at most {} bytes", Limits.MaxBodyBytes));
    return std::nullopt;
  }
  if (auto Broken = readHeaders(Incoming, Out)) {
    Refusal = refused(http::StatusBadRequest, ProblemCode::BadField,
                      Broken->first, Broken->second);
    return std::nullopt;
  }
  Out.ContentType = headerText(Incoming, "Content-Type");
  Out.Body = std::move(Incoming.Body);
  return Out;
}

} // namespace daisylanding::caller
