#ifndef DAISYLANDING_TESTS_STANDIN_PROGRAM_H
#define DAISYLANDING_TESTS_STANDIN_PROGRAM_H

#include "http/Server.h"

#include <map>
#include <string>

namespace daisylanding::standin {

/// Parses `--name value` pairs into a map from name to value.
std::map<std::string, std::string> parseArguments(int ArgCount,
                                                  char **ArgValues);

/// Serves until SIGTERM or SIGINT. Returns the exit code: 1 when the server
/// cannot listen, 0 otherwise.
int serveUntilSignal(http::ServerOptions Options, http::Handler &Handler);

http::Response jsonResponse(uint16_t Status, std::string Body);

} // namespace daisylanding::standin

#endif
