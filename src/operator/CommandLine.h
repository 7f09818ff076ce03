#ifndef DAISYLANDING_OPERATOR_COMMANDLINE_H
#define DAISYLANDING_OPERATOR_COMMANDLINE_H

#include "operator/Verbs.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace daisylanding::op {

/// A verb with its arguments, ready to be sent.
struct Command {
  const Verb *SelectedVerb = nullptr;
  std::string Argument;
  std::string EntryAddress =
      "127.0.0.1:7002"; ///< host:port of an operators' port.
  bool PrintJson = false;
  /// Fields for the body, and the client's own options by their names.
  nlohmann::json BodyFields = nlohmann::json::object();
  std::map<std::string, std::string> ClientOptions;
};

/// Reads a verb's words with popt. On a mistake, or for --help, nothing is
/// returned, the text was printed and \p ExitStatus is set.
std::optional<Command> parseCommand(std::span<char *> Arguments,
                                    int &ExitStatus);

} // namespace daisylanding::op

#endif
