#include "common/Error.h"

namespace daisylanding {

namespace {

class ErrorCategory final : public std::error_category {
public:
  const char *name() const noexcept override { return "daisylanding"; }
  std::string message(int Value) const override;
};

std::string ErrorCategory::message(int Value) const {
  switch (static_cast<Errc>(Value)) {
  case Errc::Ok:
    return "ok";
  case Errc::Unreachable:
    return "unreachable";
  case Errc::AnswerLost:
    return "answer-lost";
  case Errc::Timeout:
    return "timeout";
  case Errc::Conflict:
    return "conflict";
  case Errc::NotFound:
    return "not-found";
  case Errc::BudgetExhausted:
    return "budget-exhausted";
  case Errc::QueueFull:
    return "queue-full";
  case Errc::Malformed:
    return "malformed";
  case Errc::OutOfRange:
    return "out-of-range";
  case Errc::UnknownKey:
    return "unknown-key";
  case Errc::WrongDeployment:
    return "wrong-deployment";
  case Errc::WrongVersion:
    return "wrong-version";
  case Errc::Fenced:
    return "fenced";
  case Errc::Infeasible:
    return "infeasible";
  case Errc::OverQuota:
    return "over-quota";
  case Errc::NotReady:
    return "not-ready";
  case Errc::ShuttingDown:
    return "shutting-down";
  case Errc::HistoryGone:
    return "history-gone";
  case Errc::SystemFailure:
    return "system-failure";
  }
  return "unrecognized";
}

} // namespace

const std::error_category &errorCategory() {
  static const ErrorCategory Category;
  return Category;
}

std::error_code make_error_code(Errc Code) {
  return {static_cast<int>(Code), errorCategory()};
}

} // namespace daisylanding
