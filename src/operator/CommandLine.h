#ifndef DAISYLANDING_OPERATOR_COMMANDLINE_H
#define DAISYLANDING_OPERATOR_COMMANDLINE_H

#include "operator/Verbs.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace daisylanding::op {

/// A parsed command line.
struct Command {
  const Verb *SelectedVerb = nullptr;
  std::string Argument;
  /// Address of an entry's operator API, as host:port.
  std::string EntryAddress = "127.0.0.1:7002";
  bool PrintJson = false;
  /// Fields of the request body.
  nlohmann::json BodyFields = nlohmann::json::object();
  /// Values of the options that only the client uses, by option name.
  std::map<std::string, std::string> ClientOptions;
};

/// Parses a verb and its options with popt. On an error, and for --help, prints
/// the text, sets \p ExitStatus and returns nothing.
std::optional<Command> parseCommand(std::span<char *> Arguments,
                                    int &ExitStatus);

} // namespace daisylanding::op

#endif
