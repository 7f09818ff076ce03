#ifndef DAISYLANDING_OPERATOR_CLIENT_H
#define DAISYLANDING_OPERATOR_CLIENT_H

#include <span>
#include <string>

namespace daisylanding::op {

/// Exit codes of the operators' client.
enum class ExitCode : int {
  Ok = 0,
  Failure = 1,     ///< The entry refused; standard error says why.
  Usage = 2,       ///< The command line is wrong.
  Conflict = 3,    ///< Another change won; its version is shown.
  Unreachable = 4, ///< No entry answered; nothing was changed.
  Unknown = 5,     ///< The answer was lost; the change may have taken effect.
};

/// Runs one verb of the operators' client. \p Arguments are the arguments after
/// the program's name.
int runClient(std::span<char *> Arguments);

} // namespace daisylanding::op

#endif
