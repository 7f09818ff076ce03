#include "caller/Responses.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace daisylanding::caller {

namespace {

http::Response makeProblemResponse(uint16_t Status, std::string_view Outcome,
                                   nlohmann::json Document) {
  Document["status"] = Status;
  Document["outcome"] = Outcome;
  return {.Status = Status,
          .Headers = {{"Content-Type", "application/problem+json"},
                      {std::string(OutcomeHeader), std::string(Outcome)}},
          .Body = Document.dump()};
}

nlohmann::json makeProblemDocument(ProblemCode Code) {
  std::string_view Name = problemName(Code);
  return {{"type", fmt::format("urn:daisylanding:problem:{}", Name)},
          {"code", Name}};
}

/// Whether a header of the endpoint's response applies only to its connection.
bool isConnectionHeader(std::string_view Name) {
  return http::findHeader({{"Connection", ""},
                           {"Keep-Alive", ""},
                           {"Transfer-Encoding", ""},
                           {"Content-Length", ""},
                           {"Upgrade", ""},
                           {"Trailer", ""}},
                          Name) != nullptr;
}

} // namespace

std::string_view problemName(ProblemCode Code) {
  switch (Code) {
  case ProblemCode::NoSuchPath:
    return "no-such-path";
  case ProblemCode::NoSuchService:
    return "no-such-service";
  case ProblemCode::NoSuchClass:
    return "no-such-class";
  case ProblemCode::BadMethod:
    return "bad-method";
  case ProblemCode::BadField:
    return "bad-field";
  case ProblemCode::TooLarge:
    return "too-large";
  case ProblemCode::KeyReused:
    return "key-reused";
  case ProblemCode::Overloaded:
    return "overloaded";
  case ProblemCode::NoEndpoint:
    return "no-endpoint";
  case ProblemCode::NotRecorded:
    return "not-recorded";
  case ProblemCode::DeadlineTooShort:
    return "deadline-too-short";
  case ProblemCode::NotReady:
    return "not-ready";
  case ProblemCode::ShuttingDown:
    return "shutting-down";
  case ProblemCode::AnswerLost:
    return "answer-lost";
  case ProblemCode::AnswerLate:
    return "answer-late";
  case ProblemCode::EarlierTryUnresolved:
    return "earlier-try-unresolved";
  }
  return "unrecognized";
}

http::Response makeRefusedResponse(uint16_t Status, ProblemCode Code,
                                   std::string_view Field,
                                   std::string_view Allowed) {
  nlohmann::json Document = makeProblemDocument(Code);
  Document["field"] = Field;
  Document["allowed"] = Allowed;
  return makeProblemResponse(Status, "not-run", std::move(Document));
}

http::Response makeDoneResponse(http::Response EndpointResponse) {
  std::erase_if(EndpointResponse.Headers, [](const http::Header &Field) {
    return isConnectionHeader(Field.first);
  });
  EndpointResponse.Headers.emplace_back(OutcomeHeader, "done");
  return EndpointResponse;
}

http::Response makeNotRunResponse(ProblemCode Code, int64_t RetryAfterSeconds,
                                  EarlierTries Earlier) {
  uint16_t Status = Code == ProblemCode::Overloaded
                        ? http::StatusTooManyRequests
                        : http::StatusUnavailable;
  http::Response Response =
      makeProblemResponse(Status, "not-run", makeProblemDocument(Code));
  Response.Headers.emplace_back("Retry-After",
                                std::to_string(RetryAfterSeconds));
  if (Earlier != EarlierTries::NotApplicable)
    Response.Headers.emplace_back(
        EarlierTriesHeader,
        Earlier == EarlierTries::None ? "none" : "not-checked");
  return Response;
}

http::Response makeUnknownResponse(ProblemCode Code,
                                   int64_t RetryAfterSeconds) {
  uint16_t Status = Code == ProblemCode::AnswerLate ? http::StatusGatewayTimeout
                                                    : http::StatusBadGateway;
  http::Response Response =
      makeProblemResponse(Status, "unknown", makeProblemDocument(Code));
  Response.Headers.emplace_back("Retry-After",
                                std::to_string(RetryAfterSeconds));
  return Response;
}

} // namespace daisylanding::caller
