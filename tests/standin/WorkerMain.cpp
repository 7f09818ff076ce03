#include "standin/Program.h"
#include "standin/WorkerService.h"

int main(int ArgCount, char **ArgValues) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(ArgCount, ArgValues);
  standin::WorkerOptions WorkerSettings;
  WorkerSettings.NamePrefix = Arguments["name"];
  WorkerSettings.HistoryFile = Arguments["history"];
  if (Arguments.count("count"))
    WorkerSettings.Count = static_cast<uint32_t>(std::stoi(Arguments["count"]));
  standin::WorkerService Service(WorkerSettings);
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  Options.MaxBodyBytes = 16 << 20;
  return standin::serveUntilSignal(Options, Service);
}
