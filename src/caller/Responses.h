#ifndef DAISYLANDING_CALLER_RESPONSES_H
#define DAISYLANDING_CALLER_RESPONSES_H

#include "http/Message.h"

#include <string>
#include <string_view>

/// Builds the responses sent to callers, each with its `Daisylanding-Outcome`.
namespace daisylanding::caller {

constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view ClassHeader = "Daisylanding-Class";
constexpr std::string_view RepeatableHeader = "Daisylanding-Repeatable";
constexpr std::string_view DeadlineHeader = "Daisylanding-Deadline-Ms";
constexpr std::string_view OutcomeHeader = "Daisylanding-Outcome";

/// In a `not-run` response: what is known of earlier tries with the same key.
constexpr std::string_view EarlierTriesHeader = "Daisylanding-Earlier-Tries";

/// The `code` of a problem document.
enum class ProblemCode {
  NoSuchPath,
  NoSuchService,
  NoSuchClass,
  BadMethod,
  BadField,
  TooLarge,
  KeyReused,
  Overloaded,
  NoEndpoint,
  NotRecorded,
  DeadlineTooShort,
  NotReady,
  ShuttingDown,
  AnswerLost,
  AnswerLate,
  EarlierTryUnresolved,
};

/// Earlier tries with the same idempotency key: none found, not looked up, or
/// of no concern to the request.
enum class EarlierTries { None, NotChecked, NotApplicable };

std::string_view problemName(ProblemCode Code);

/// A 4xx response that names the invalid field; the request did not run.
http::Response makeRefusedResponse(uint16_t Status, ProblemCode Code,
                                   std::string_view Field,
                                   std::string_view Allowed);

/// The endpoint's complete response, without connection-specific headers.
http::Response makeDoneResponse(http::Response EndpointResponse);

/// This try certainly did not run: 429 if overloaded, else 503.
http::Response makeNotRunResponse(ProblemCode Code, int64_t RetryAfterSeconds,
                                  EarlierTries Earlier);

/// The request may have run: 504 if the response is late, else 502.
http::Response makeUnknownResponse(ProblemCode Code, int64_t RetryAfterSeconds);

} // namespace daisylanding::caller

#endif
