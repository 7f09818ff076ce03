#include "entry/Entry.h"

#include "caller/CallerServer.h"
#include "common/Log.h"
#include "entry/CreditLoop.h"
#include "entry/RequestLoop.h"
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

/// How long the load balancer may still send requests after the health check
/// reports not ready. They are refused and answered as not run.
constexpr Millis LoadBalancerGrace{1'000};

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

http::ServerOptions operatorServerOptions(const config::Settings &Options) {
  http::ServerOptions ServerOptions;
  ServerOptions.Address = Options.OperatorAddress.Host;
  ServerOptions.Port = Options.OperatorAddress.Port;
  ServerOptions.MaxConnections = 128;
  return ServerOptions;
}

/// The loops of an entry. `start` defines the order in which they start.
class EntryProcess {
public:
  explicit EntryProcess(const config::Settings &Options);

  std::error_code start();
  void shutDown();

private:
  peer::PeerHooks peerHooks();
  void connectRequestLoop();

  EntryContext Context;
  SyncLoop Sync;
  RequestLoop Requests;
  CreditLoop Credits;
  ShardLoop Shards;
  RescueLoop Rescue;
  peer::PeerLoop Peers;
  op::OperatorApi Operators;
  http::Server OperatorServer;
  caller::CallerServer Callers;
};

EntryProcess::EntryProcess(const config::Settings &Options)
    : Context(Options, newIncarnation()), Sync(Context), Requests(Context),
      Credits(Context, Requests.CreditRows), Shards(Context), Rescue(Context),
      Peers(Context, peerHooks()), Operators(Context, Shards, Peers),
      OperatorServer(operatorServerOptions(Options), Operators),
      Callers(Context, [this](IncomingRequest Request) {
        return Requests.CallerRequests.push(std::move(Request));
      }) {
  connectRequestLoop();
}

peer::PeerHooks EntryProcess::peerHooks() {
  return {.ServeRequest =
              [this](IncomingRequest Request) {
                return Requests.PeerRequests.push(std::move(Request));
              },
          .ReportForwardDone =
              [this](ForwardReply Reply) {
                return Requests.ForwardReplies.push(std::move(Reply));
              },
          .OfferConfig =
              [this](std::string Text) {
                return Sync.PeerConfigs.push(std::move(Text));
              },
          .PollInbox = [this] { Shards.pollInbox(); },
          .RequestJobsDocument =
              [this](const std::string &Job,
                     std::function<void(std::string)> Done) {
                return op::requestJobsDocument(Shards, Job, std::move(Done));
              }};
}

void EntryProcess::connectRequestLoop() {
  Requests.Forward = [this](ForwardCall Call) {
    return Peers.ForwardCalls.push(std::move(Call));
  };
  Requests.WriteCredits = [this](CreditWrite Write) {
    return Credits.Writes.push(std::move(Write));
  };
}

std::error_code EntryProcess::start() {
  Sync.start();
  Shards.start();
  Requests.start();
  Credits.start();
  Rescue.start();
  if (auto Failure = Peers.start())
    return Failure;
  Operators.start();
  if (auto Failure = OperatorServer.start())
    return Failure;
  if (auto Failure = Callers.start())
    return Failure;
  Context.Events.add("entry-started", Context.Options.Name,
                     "incarnation=" + Context.Incarnation);
  logInfo("entry-started", "entry={} zone={} callers={} operators={} peers={}",
          Context.Options.Name, Context.Options.AvailabilityZone,
          Context.Options.CallerAddress.text(),
          Context.Options.OperatorAddress.text(),
          Context.Options.PeerAddress.text());
  return {};
}

void EntryProcess::shutDown() {
  logInfo("entry-draining", "entry={}", Context.Options.Name);
  Context.Events.add("entry-draining", Context.Options.Name);
  Context.Draining.store(true);
  std::this_thread::sleep_for(LoadBalancerGrace);
  Shards.stop(Context.Options.DrainLimit);
  Requests.stop(Context.Options.DrainLimit);
  Callers.stop(Context.Options.DrainLimit);
  Credits.stop();
  Rescue.stop();
  OperatorServer.stop(LoadBalancerGrace);
  Operators.stop();
  Peers.stop();
  Sync.stop();
  logInfo("entry-stopped", "entry={}", Context.Options.Name);
}

} // namespace

int serve(const config::Settings &Options) {
  // All threads inherit the mask, so that only this thread receives the
  // signals.
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  EntryProcess Process(Options);
  if (auto Failure = Process.start()) {
    logError("start-failed", "error={}", Failure.message());
    // Loops that are partly started own nothing that must be released.
    std::_Exit(1);
  }
  int Received = 0;
  sigwait(&Signals, &Received);
  Process.shutDown();
  return 0;
}

} // namespace daisylanding::entry
