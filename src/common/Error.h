#ifndef DAISYLANDING_COMMON_ERROR_H
#define DAISYLANDING_COMMON_ERROR_H

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace daisylanding {

/// Every failure that crosses a module border.
enum class Errc {
  Ok = 0,
  Unreachable,     ///< No connection; nothing was sent.
  AnswerLost,      ///< Sent, but no whole answer came back.
  Timeout,         ///< The time allowed ran out after sending.
  Conflict,        ///< A compare-and-set lost to another writer.
  NotFound,        ///< The row, object, job or name does not exist.
  BudgetExhausted, ///< This process has used its share of table writes.
  QueueFull,       ///< A bounded queue refused the item.
  Malformed,       ///< Text that cannot be parsed.
  OutOfRange,      ///< A value outside its allowed range.
  UnknownKey,      ///< A setting or field that does not exist.
  WrongDeployment, ///< A peer of another deployment.
  WrongVersion,    ///< A peer that speaks another protocol version.
  Fenced,          ///< A newer epoch owns what this process acted for.
  Infeasible,      ///< Work that no instance could ever hold.
  OverQuota,       ///< The team's quota does not allow the work.
  NotReady,        ///< No configuration is in force yet.
  ShuttingDown,    ///< The process refuses new work while it stops.
  HistoryGone,     ///< The changes asked for are no longer kept.
  SystemFailure,   ///< The operating system refused a call.
};

const std::error_category &errorCategory();
std::error_code
make_error_code(Errc Code); // NOLINT(readability-identifier-naming):
                            // found by the standard library.

/// A value, or the failure that took its place.
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
