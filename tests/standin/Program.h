#ifndef DAISYLANDING_TESTS_STANDIN_PROGRAM_H
#define DAISYLANDING_TESTS_STANDIN_PROGRAM_H

#include "http/Server.h"

#include <map>
#include <string>

namespace daisylanding::standin {

/// The `--name value` pairs of a stand-in's command line.
std::map<std::string, std::string> parseArguments(int ArgCount,
                                                  char **ArgValues);

/// Serves until SIGTERM or SIGINT; returns the exit code.
int serveUntilSignal(http::ServerOptions Options, http::Handler &Handler);

http::Response jsonResponse(uint16_t Status, std::string Body);

} // namespace daisylanding::standin

#endif
