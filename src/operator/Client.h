#ifndef DAISYLANDING_OPERATOR_CLIENT_H
#define DAISYLANDING_OPERATOR_CLIENT_H

#include <span>
#include <string>

namespace daisylanding::op {

/// Exit codes of the operator client.
enum class ExitCode : int {
  Ok = 0,
  Failure = 1,     ///< The entry refused; standard error gives the reason.
  Usage = 2,       ///< The command line is wrong.
  Conflict = 3,    ///< Another change came first; its version is shown.
  Unreachable = 4, ///< The entry did not answer; nothing was changed.
  Unknown = 5,     ///< The response was lost; the change may be in effect.
};

/// Runs one verb of the operator client and returns the exit code. \p Arguments
/// are the arguments after the program's name.
int runClient(std::span<char *> Arguments);

} // namespace daisylanding::op

#endif
