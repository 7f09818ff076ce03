#ifndef DAISYLANDING_OPERATOR_COMMANDLINE_H
#define DAISYLANDING_OPERATOR_COMMANDLINE_H

#include "operator/Verbs.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace daisylanding::op {

/// A verb with its arguments, ready to be sent.
struct Command {
  const Verb *Which = nullptr;
  std::string Argument;
  std::string Entry = "127.0.0.1:7002"; ///< host:port of an operators' port.
  bool Json = false;
  /// Fields for the body, and the client's own options by their names.
  nlohmann::json Fields = nlohmann::json::object();
  std::map<std::string, std::string> Own;
};

/// Reads a verb's words with popt. On a mistake, or for --help, nothing is
/// returned, the text was printed and \p Exit is set.
std::optional<Command> parseCommand(std::span<char *> Words, int &Exit);

} // namespace daisylanding::op

#endif
