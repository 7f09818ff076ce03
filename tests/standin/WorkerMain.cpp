#include "standin/Program.h"
#include "standin/WorkerService.h"

int main(int Count, char **Words) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(Count, Words);
  standin::WorkerOptions Workers;
  Workers.NamePrefix = Arguments["name"];
  Workers.HistoryFile = Arguments["history"];
  if (Arguments.count("count"))
    Workers.Count = static_cast<uint32_t>(std::stoi(Arguments["count"]));
  standin::WorkerService Service(Workers);
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  Options.MaxBodyBytes = 16 << 20;
  return standin::serveUntilSignal(Options, Service);
}
