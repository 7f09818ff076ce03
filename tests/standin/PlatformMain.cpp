#include "standin/PlatformService.h"
#include "standin/Program.h"

int main(int ArgCount, char **ArgValues) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(ArgCount, ArgValues);
  standin::PlatformService Service(1);
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  Options.MaxBodyBytes = 64 << 20;
  return standin::serveUntilSignal(Options, Service);
}
