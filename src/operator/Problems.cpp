#include "operator/Problems.h"

#include <nlohmann/json.hpp>

namespace daisylanding::op {

namespace {

constexpr std::string_view RetryAfterSeconds = "1";

} // namespace

http::Response makeJsonResponse(uint16_t Status,
                                const nlohmann::json &Document) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Document.dump()};
}

uint16_t httpStatus(std::error_code Code) {
  if (Code.category() != errorCategory())
    return http::StatusInternalError;
  switch (static_cast<Errc>(Code.value())) {
  case Errc::Malformed:
    return http::StatusBadRequest;
  case Errc::OutOfRange:
  case Errc::UnknownKey:
  case Errc::Infeasible:
  case Errc::OverQuota:
    return http::StatusUnprocessable;
  case Errc::NotFound:
    return http::StatusNotFound;
  case Errc::Conflict:
    return http::StatusConflict;
  case Errc::AnswerLost:
  case Errc::Timeout:
    return http::StatusBadGateway;
  case Errc::Unreachable:
  case Errc::BudgetExhausted:
  case Errc::QueueFull:
  case Errc::NotReady:
  case Errc::ShuttingDown:
    return http::StatusUnavailable;
  default:
    return http::StatusInternalError;
  }
}

http::Response makeProblemResponse(std::error_code Code, std::string_view Field,
                                   std::string_view Allowed) {
  uint16_t Status = httpStatus(Code);
  nlohmann::json Document = {
      {"type", "urn:daisylanding:problem:" + Code.message()},
      {"code", Code.message()},
      {"status", Status}};
  if (!Field.empty())
    Document["field"] = Field;
  if (!Allowed.empty())
    Document["allowed"] = Allowed;
  http::Response Response = makeJsonResponse(Status, Document);
  Response.Headers.front().second = "application/problem+json";
  if (Status == http::StatusUnavailable)
    Response.Headers.emplace_back("Retry-After", RetryAfterSeconds);
  return Response;
}

http::Response makeProblemResponse(const config::InputProblem &Problem) {
  // A missing field is invalid input (422), not an unknown path (404).
  Errc Code = Problem.Code == Errc::NotFound ? Errc::OutOfRange : Problem.Code;
  return makeProblemResponse(Code, Problem.Field, Problem.Allowed);
}

} // namespace daisylanding::op
