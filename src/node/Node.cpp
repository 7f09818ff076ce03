#include "node/Node.h"

#include "common/Log.h"
#include "node/AdviceDesk.h"
#include "node/IntakeLoop.h"
#include "node/StatusApi.h"
#include "node/WatchLoop.h"
#include "relay/RelayLoop.h"

#include <fmt/format.h>

#include <csignal>
#include <random>

#include <unistd.h>

namespace daisylanding::node {

namespace {

/// An entry that has not heard of the store for so long sends callers away.
constexpr Millis ReadinessSilence{1'500};
/// How long the balancer may go on sending after readiness has turned.
constexpr Millis BalancerGrace{2'200};
constexpr Millis ReleaseLimit{1'500};

std::string newIncarnation() {
  std::random_device Source;
  return fmt::format("{:08x}{:08x}", Source(), Source());
}

http::ServerOptions serverOptions(const config::ListenAddress &At,
                                  std::string ThreadName, size_t Connections) {
  http::ServerOptions Out;
  Out.Address = At.Host;
  Out.Port = At.Port;
  Out.ThreadName = std::move(ThreadName);
  Out.MaxConnections = Connections;
  return Out;
}

/// Callers are held to the limits of the configuration in force.
http::ServerOptions callerOptions(const Shared &Common) {
  http::ServerOptions Out = serverOptions(
      Common.Options.CallerAddress, "callers", Common.Options.MaxConnections);
  Out.Limits = [&Common] {
    auto Config = Common.Config.current();
    return Config ? Config->Limits : http::RequestLimits();
  };
  return Out;
}

/// Tells the balancer whether this entry should get callers.
class ReadinessHandler final : public http::Handler {
public:
  explicit ReadinessHandler(Shared &Common) : Common(Common) {}

  void handle(http::Request, http::Responder Respond) override {
    TimePoint Now = monotonicNow();
    bool Heard = Now < Common.Store.lastAnswer() + ReadinessSilence;
    bool Ready = Common.Config.current() && Heard && !Common.Draining.load();
    if (Ready != WasReady) {
      WasReady = Ready;
      logInfo("readiness", "ready={} configured={} store_silent_ms={}", Ready,
              Common.Config.current() != nullptr,
              toMillis(Now - Common.Store.lastAnswer()));
    }
    Respond({.Status = Ready ? http::StatusOk : http::StatusUnavailable,
             .Body = Ready ? "ready\n" : "not ready\n"});
  }

private:
  Shared &Common;
  bool WasReady = false; ///< Used on the server's thread only.
};

class CellProcess {
public:
  CellProcess(const config::CellSettings &Options, const Ports &Around)
      : Common(Options, newIncarnation(), Around), Desk(Common),
        Relay(
            {.Listen = Options.RelayAddress},
            [this](executor::AdviceCall Call, executor::AdviceDone Done) {
              return Desk.ask(std::move(Call), std::move(Done));
            },
            Common.Offers),
        Watch(Common, Desk, Relay), Intake(Common, Relay), Readiness(Common),
        Operators(Common), Callers(callerOptions(Common), Intake),
        ReadinessServer(
            serverOptions(Options.ReadinessAddress, "readiness", 64),
            Readiness),
        OperatorServer(serverOptions(Options.OperatorAddress, "operators", 64),
                       Operators) {}

  std::error_code start() {
    Desk.start();
    if (auto Failure = Relay.start())
      return Failure;
    Intake.start();
    Watch.start();
    if (auto Failure = OperatorServer.start())
      return Failure;
    if (auto Failure = Callers.start())
      return Failure;
    if (auto Failure = ReadinessServer.start())
      return Failure;
    logInfo("started", "entry={} zone={} incarnation={} callers={} relay={}",
            Common.Options.Name, Common.Options.AvailabilityZone,
            Common.Incarnation, Common.Options.CallerAddress.text(),
            Common.Options.RelayAddress.text());
    Common.Events.add("entry-started", Common.Options.Name,
                      "incarnation=" + Common.Incarnation);
    return {};
  }

  void shutDown() {
    TimePoint Begun = monotonicNow();
    logInfo("stopping", "entry={} open={}", Common.Options.Name, Intake.open());
    Common.Draining.store(true);
    Watch.release(ReleaseLimit);
    Micros Spent = monotonicNow() - Begun;
    if (Spent < BalancerGrace)
      std::this_thread::sleep_for(BalancerGrace - Spent);
    Millis Left = Common.Options.DrainLimit -
                  std::chrono::duration_cast<Millis>(monotonicNow() - Begun);
    constexpr Millis Reserve{1'000};
    Callers.stop(std::max(Millis(0), Left - Reserve));
    logInfo("stopped", "entry={} took_ms={}", Common.Options.Name,
            toMillis(monotonicNow() - Begun));
  }

private:
  Shared Common;
  AdviceDesk Desk;
  relay::RelayLoop Relay;
  WatchLoop Watch;
  IntakeLoop Intake;
  ReadinessHandler Readiness;
  StatusApi Operators;
  http::Server Callers;
  http::Server ReadinessServer;
  http::Server OperatorServer;
};

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

int serveCell(const config::CellSettings &Options, const Ports &Around) {
  // All threads inherit the mask; this one takes the signals.
  sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  makeLogNonBlocking();
  CellProcess Process(Options, Around);
  if (auto Failure = Process.start()) {
    logError("start-failed", "error={}", Failure.message());
    // Half-started loops hold nothing that must be handed over.
    std::_Exit(1);
  }
  int Received = SIGHUP;
  while (Received == SIGHUP) {
    sigwait(&Signals, &Received);
    if (Received == SIGHUP)
      logInfo("reload", "entry={} changed=none", Options.Name);
  }
  Process.shutDown();
  // What is left holds nothing that must be handed over or answered.
  std::fflush(stdout);
  std::_Exit(0);
}

} // namespace daisylanding::node
