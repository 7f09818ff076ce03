#include "standin/ExecutorService.h"
#include "standin/Program.h"

int main(int Count, char **Words) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(Count, Words);
  standin::ExecutorOptions Executor;
  Executor.Name = Arguments["name"];
  Executor.HistoryFile = Arguments["history"];
  if (Arguments.count("work-ms"))
    Executor.Work = Millis(std::stoi(Arguments["work-ms"]));
  Executor.Seed = std::hash<std::string>()(Executor.Name);
  standin::ExecutorService Service(Executor);
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  constexpr size_t ConnectionsAccepted = 64;
  Options.MaxConnections = ConnectionsAccepted + 1; // One for control.
  return standin::serveUntilSignal(Options, Service);
}
