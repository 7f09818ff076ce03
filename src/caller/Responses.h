#ifndef DAISYLANDING_CALLER_RESPONSES_H
#define DAISYLANDING_CALLER_RESPONSES_H

#include "http/Message.h"

#include <string>
#include <string_view>

/// Every answer that a caller can get, with its `Daisylanding-Outcome`.
namespace daisylanding::caller {

constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view ClassHeader = "Daisylanding-Class";
constexpr std::string_view RepeatableHeader = "Daisylanding-Repeatable";
constexpr std::string_view DeadlineHeader = "Daisylanding-Deadline-Ms";
constexpr std::string_view OutcomeHeader = "Daisylanding-Outcome";

/// What a `not-run` answer says of earlier tries with the same key.
constexpr std::string_view EarlierTriesHeader = "Daisylanding-Earlier-Tries";

/// The typed code of a problem document.
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

/// Whether earlier tries with the key were looked up, and none found.
enum class EarlierTries { None, NotChecked, NotApplicable };

std::string_view problemName(ProblemCode Code);

/// A 4xx that names the field at fault; nothing ran.
http::Response makeRefusedResponse(uint16_t Status, ProblemCode Code,
                                   std::string_view Field,
                                   std::string_view Allowed);

/// The endpoint's whole answer.
http::Response makeDoneResponse(http::Response EndpointResponse);

/// This try truly did not run. 429 when the system is overloaded, else 503.
http::Response makeNotRunResponse(ProblemCode Code, int64_t RetryAfterSeconds,
                                  EarlierTries Earlier);

/// It may have run; 504 when an answer is late, else 502.
http::Response makeUnknownResponse(ProblemCode Code, int64_t RetryAfterSeconds);

} // namespace daisylanding::caller

#endif
