#include "entry/Entry.h"

#include "caller/CallerServer.h"
#include "common/Log.h"
#include "entry/CreditLoop.h"
#include "entry/FrontLoop.h"
#include "entry/RescueLoop.h"
#include "entry/ShardLoop.h"
#include "entry/SyncLoop.h"
#include "operator/OperatorApi.h"
#include "peer/PeerLoop.h"

#include <fmt/format.h>

#include <csignal>
#include <random>

#include <sys/resource.h>
#include <unistd.h>

namespace daisylanding::entry {

namespace {

/// How long the balancer may still send requests after the health check has
/// turned; they are refused as not run.
constexpr Millis BalancerGrace{1'000};

std::string newIncarnation() {
  std::random_device Source;
  return fmt::format("{:08x}{:08x}", Source(), Source());
}

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

http::ServerOptions operatorServer(const config::Settings &Options) {
  http::ServerOptions Out;
  Out.Address = Options.Operators.Address;
  Out.Port = Options.Operators.Port;
  Out.MaxConnections = 128;
  return Out;
}

/// The loops of one entry, in the order in which they are started.
class EntryProcess {
public:
  explicit EntryProcess(const config::Settings &Options);

  std::error_code start();
  void shutDown();

private:
  peer::PeerHooks peerHooks();
  void connectFront();

  Context Shared;
  SyncLoop Sync;
  FrontLoop Front;
  CreditLoop Credits;
  ShardLoop Shards;
  RescueLoop Rescue;
  peer::PeerLoop Peers;
  op::OperatorApi Operators;
  http::Server OperatorServer;
  caller::CallerServer Callers;
};

EntryProcess::EntryProcess(const config::Settings &Options)
    : Shared(Options, newIncarnation()), Sync(Shared), Front(Shared),
      Credits(Shared, Front.CreditRows), Shards(Shared), Rescue(Shared),
      Peers(Shared, peerHooks()), Operators(Shared, Shards, Peers),
      OperatorServer(operatorServer(Options), Operators),
      Callers(Shared, [this](FrontRequest In) {
        return Front.FromCallers.push(std::move(In));
      }) {
  connectFront();
}

peer::PeerHooks EntryProcess::peerHooks() {
  return {.ServeRequest =
              [this](FrontRequest In) {
                return Front.FromPeers.push(std::move(In));
              },
          .ReportForwardDone =
              [this](ForwardDone Done) {
                return Front.Forwarded.push(std::move(Done));
              },
          .OfferConfig =
              [this](std::string Text) {
                return Sync.FromPeers.push(std::move(Text));
              },
          .PollInbox = [this] { Shards.pollInbox(); },
          .RequestJobsDocument =
              [this](const std::string &Job,
                     std::function<void(std::string)> Done) {
                return op::requestJobsDocument(Shards, Job, std::move(Done));
              }};
}

void EntryProcess::connectFront() {
  Front.Forward = [this](ForwardCall Call) {
    return Peers.ForwardCalls.push(std::move(Call));
  };
  Front.WriteCredits = [this](CreditWrite Write) {
    return Credits.Writes.push(std::move(Write));
  };
}

std::error_code EntryProcess::start() {
  Sync.start();
  Shards.start();
  Front.start();
  Credits.start();
  Rescue.start();
  if (auto Failure = Peers.start())
    return Failure;
  Operators.start();
  if (auto Failure = OperatorServer.start())
    return Failure;
  if (auto Failure = Callers.start())
    return Failure;
  Shared.Events.add("entry-started", Shared.Options.Name,
                    "incarnation=" + Shared.Incarnation);
  logInfo("entry-started", "entry={} zone={} callers={} operators={} peers={}",
          Shared.Options.Name, Shared.Options.AvailabilityZone,
          Shared.Options.Callers.text(), Shared.Options.Operators.text(),
          Shared.Options.Peers.text());
  return {};
}

void EntryProcess::shutDown() {
  logInfo("entry-draining", "entry={}", Shared.Options.Name);
  Shared.Events.add("entry-draining", Shared.Options.Name);
  Shared.Draining.store(true);
  std::this_thread::sleep_for(BalancerGrace);
  Shards.stop(Shared.Options.DrainLimit);
  Front.stop(Shared.Options.DrainLimit);
  Callers.stop(Shared.Options.DrainLimit);
  Credits.stop();
  Rescue.stop();
  OperatorServer.stop(BalancerGrace);
  Operators.stop();
  Peers.stop();
  Sync.stop();
  logInfo("entry-stopped", "entry={}", Shared.Options.Name);
}

} // namespace

int serve(const config::Settings &Options) {
  // All threads inherit the mask; this one takes the signals.
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  EntryProcess Process(Options);
  if (auto Failure = Process.start()) {
    logError("start-failed", "error={}", Failure.message());
    // Half-started loops hold nothing that must be handed over.
    std::_Exit(1);
  }
  int Received = 0;
  sigwait(&Signals, &Received);
  Process.shutDown();
  return 0;
}

} // namespace daisylanding::entry
