#include "standin/Program.h"

#include <csignal>
#include <cstring>

namespace daisylanding::standin {

std::map<std::string, std::string> parseArguments(int ArgCount,
                                                  char **ArgValues) {
  std::map<std::string, std::string> ValuesByName;
  for (int Index = 1; Index + 1 < ArgCount; Index += 2) {
    if (std::strncmp(ArgValues[Index], "--", 2) == 0)
      ValuesByName[ArgValues[Index] + 2] = ArgValues[Index + 1];
  }
  return ValuesByName;
}

int serveUntilSignal(http::ServerOptions Options, http::Handler &Handler) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  http::Server Server(std::move(Options), Handler);
  if (Server.start())
    return 1;
  int SignalNumber = 0;
  sigwait(&Signals, &SignalNumber);
  Server.stop(Millis(0));
  return 0;
}

http::Response jsonResponse(uint16_t Status, std::string Body) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = std::move(Body)};
}

} // namespace daisylanding::standin
