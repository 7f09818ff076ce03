#include "standin/EndpointService.h"
#include "standin/Program.h"

int main(int ArgCount, char **ArgValues) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(ArgCount, ArgValues);
  standin::EndpointOptions Endpoint;
  Endpoint.Name = Arguments["name"];
  Endpoint.HistoryFile = Arguments["history"];
  if (Arguments.count("work-ms"))
    Endpoint.MeanWorkTime = Millis(std::stoi(Arguments["work-ms"]));
  Endpoint.Seed = std::hash<std::string>()(Endpoint.Name);
  standin::EndpointService Service(Endpoint);
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  constexpr size_t RequestConnections = 64;
  Options.MaxConnections = RequestConnections + 1; // One for control calls.
  return standin::serveUntilSignal(Options, Service);
}
