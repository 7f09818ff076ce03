#ifndef DAISYLANDING_COMMON_ERROR_H
#define DAISYLANDING_COMMON_ERROR_H

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace daisylanding {

/// Failures reported across module boundaries.
enum class Errc {
  Ok = 0,
  Unreachable,     ///< No connection; nothing was sent.
  AnswerLost,      ///< Sent, but no complete answer was received.
  Timeout,         ///< No answer within the time limit after sending.
  Conflict,        ///< A compare-and-set failed: another writer was first.
  NotFound,        ///< The row, object, job or name does not exist.
  BudgetExhausted, ///< This process has used its share of table writes.
  QueueFull,       ///< A bounded queue refused the item.
  Malformed,       ///< Text that cannot be parsed.
  OutOfRange,      ///< A value outside its allowed range.
  UnknownKey,      ///< A setting or field that does not exist.
  WrongDeployment, ///< A peer of another deployment.
  WrongVersion,    ///< A peer with another protocol version.
  Fenced,          ///< A newer epoch has taken over ownership.
  Infeasible,      ///< Work that fits on no instance, even an empty one.
  OverQuota,       ///< The work exceeds the team's quota.
  NotReady,        ///< No configuration is in force yet.
  ShuttingDown,    ///< The process refuses new work while it stops.
  HistoryGone,     ///< The requested changes are no longer retained.
  SystemFailure,   ///< A system call failed.
};

const std::error_category &errorCategory();
std::error_code
make_error_code(Errc Code); // NOLINT(readability-identifier-naming):
                            // looked up by the standard library.

/// A value or an error code. Dereferencing requires a value.
template <typename T> class [[nodiscard]] Result {
public:
  Result(T Value) : ValueOrError(std::move(Value)) {}
  Result(Errc Code) : ValueOrError(make_error_code(Code)) {}
  Result(std::error_code Code) : ValueOrError(Code) {}

  explicit operator bool() const { return ValueOrError.index() == 0; }
  T &operator*() { return *std::get_if<0>(&ValueOrError); }
  const T &operator*() const { return *std::get_if<0>(&ValueOrError); }
  T *operator->() { return std::get_if<0>(&ValueOrError); }
  const T *operator->() const { return std::get_if<0>(&ValueOrError); }
  std::error_code error() const {
    const auto *Code = std::get_if<1>(&ValueOrError);
    return Code ? *Code : std::error_code();
  }

private:
  std::variant<T, std::error_code> ValueOrError;
};

} // namespace daisylanding

template <>
struct std::is_error_code_enum<daisylanding::Errc> : std::true_type {};

#endif
