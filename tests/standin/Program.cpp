#include "standin/Program.h"

#include <csignal>
#include <cstring>

namespace daisylanding::standin {

std::map<std::string, std::string> parseArguments(int Count, char **Words) {
  std::map<std::string, std::string> Out;
  for (int I = 1; I + 1 < Count; I += 2) {
    if (std::strncmp(Words[I], "--", 2) == 0)
      Out[Words[I] + 2] = Words[I + 1];
  }
  return Out;
}

int serveUntilSignal(http::ServerOptions Options, http::Handler &Target) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  http::Server Listener(std::move(Options), Target);
  if (Listener.start())
    return 1;
  int Received = 0;
  sigwait(&Signals, &Received);
  Listener.stop(Millis(0));
  return 0;
}

http::Response jsonResponse(uint16_t Status, std::string Body) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = std::move(Body)};
}

} // namespace daisylanding::standin
