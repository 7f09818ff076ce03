#include "standin/CellPlatform.h"
#include "standin/Program.h"

#include <fmt/format.h>

/// `standin-cell --port N --executors M`: a platform for one cell of service
/// `s` with the queue `/q/` on the host `jobs.example`.
int main(int Count, char **Words) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(Count, Words);
  standin::CellPlatform Platform;
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  Options.MaxBodyBytes = 4 << 20;
  Platform.configure(1, true);
  constexpr uint32_t MilliCores = 8'000;
  int Executors =
      Arguments.count("executors") ? std::stoi(Arguments["executors"]) : 3;
  for (int I = 0; I < Executors; ++I)
    Platform.addExecutor(fmt::format("i-{}", I),
                         fmt::format("127.0.0.1:{}", Options.Port), MilliCores);
  int Code = standin::serveUntilSignal(Options, Platform);
  Platform.shutDown();
  return Code;
}
