#include "standin/CellPlatform.h"
#include "standin/Program.h"

#include <fmt/format.h>

/// `standin-cell --port N --executors M` serves a CellPlatform for one cell:
/// service `s` with the queue `/q/` on the host `jobs.example`, and M executors
/// (3 by default). With `--run-ms R`, a load target for a large cell: each
/// executor has a loopback address of its own, runs take R ms, and renewals
/// wait as long as they ask for.
int main(int ArgCount, char **ArgValues) {
  using namespace daisylanding;
  auto Arguments = standin::parseArguments(ArgCount, ArgValues);
  standin::CellPlatform Platform;
  http::ServerOptions Options;
  Options.Port = static_cast<uint16_t>(std::stoi(Arguments["port"]));
  Options.MaxBodyBytes = 4 << 20;
  Platform.configure(1, true);
  constexpr uint32_t MilliCores = 8'000;
  int ExecutorCount =
      Arguments.count("executors") ? std::stoi(Arguments["executors"]) : 3;
  bool IsLoadTarget = Arguments.count("run-ms") > 0;
  if (IsLoadTarget) {
    Options.Address = "0.0.0.0";
    Options.MaxConnections = 8'192;
    Platform.setRunTimes({.RunDuration = Millis(std::stoi(Arguments["run-ms"])),
                          .MaxRenewalWait = Millis(60'000)});
  }
  constexpr int HostsPerNet = 250;
  for (int Index = 0; Index < ExecutorCount; ++Index) {
    int Host = IsLoadTarget ? Index : 0;
    Platform.addExecutor(fmt::format("i-{}", Index),
                         fmt::format("127.0.{}.{}:{}", Host / HostsPerNet,
                                     Host % HostsPerNet + 1, Options.Port),
                         MilliCores);
  }
  int ExitCode = standin::serveUntilSignal(Options, Platform);
  Platform.shutDown();
  return ExitCode;
}
