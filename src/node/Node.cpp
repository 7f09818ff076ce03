#include "node/Node.h"

#include "common/Log.h"
#include "node/AdviceLoop.h"
#include "node/IntakeLoop.h"
#include "node/ShutdownPlan.h"
#include "node/StatusApi.h"
#include "node/WatchLoop.h"
#include "relay/RelayLoop.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <random>

#include <unistd.h>

namespace daisylanding::node {

namespace {

/// An entry that has had no answer from the store for this long is not ready.
constexpr Millis ReadinessSilenceLimit{1'500};

/// Descriptors that callers leave to files, own calls and the other servers.
constexpr size_t DescriptorsForOthers = 256;
/// The same for the load balancer's connections.
constexpr size_t DescriptorsForFiles = 224;

constexpr size_t ServerConnections = 64;

/// The load balancer's question is short.
constexpr http::RequestLimits ReadinessLimits{.MaxHeaderBytes = 8'192,
                                              .MaxBodyBytes = 1'024,
                                              .MaxHeaderFields = 64,
                                              .IdleTimeout = Millis(60'000)};
constexpr http::BudgetLimits ReadinessBudget{.MaxRequestBytes = 1 << 20,
                                             .MaxConnectionBytes = 1 << 18,
                                             .MaxConnections =
                                                 ServerConnections,
                                             .MaxUnsentBytes = 16'384};

size_t maxSocketHandle(const config::CellSettings &Settings, size_t Kept) {
  return Settings.MaxDescriptors - std::min(Kept, Settings.MaxDescriptors / 2);
}

std::string newIncarnation() {
  std::random_device Source;
  return fmt::format("{:08x}{:08x}", Source(), Source());
}

http::ServerOptions serverOptions(const config::ListenAddress &Listen,
                                  std::string ThreadName) {
  http::ServerOptions Options;
  Options.Address = Listen.Host;
  Options.Port = Listen.Port;
  Options.ThreadName = std::move(ThreadName);
  Options.MaxConnections = ServerConnections;
  return Options;
}

/// Requests of callers are checked against the limits of the current
/// configuration.
http::ServerOptions callerOptions(EntryContext &Context) {
  http::ServerOptions Options =
      serverOptions(Context.Options.CallerAddress, "callers");
  Options.Budget = Context.Options.CallerBudget;
  Options.MaxSocketHandle =
      maxSocketHandle(Context.Options, DescriptorsForOthers);
  Options.Counters = &Context.EntryMetrics;
  Options.Limits = [&Context] {
    auto Config = Context.Config.current();
    http::RequestLimits Limits =
        Config ? Config->Limits : http::RequestLimits();
    Limits.MaxHeaderFields = Context.Options.CallerBudget.MaxHeaderFields;
    Limits.BodyTimeout = Context.Options.CallerBudget.BodyTimeout;
    return Limits;
  };
  return Options;
}

/// Crowds at this address don't keep the load balancer from its answer.
http::ServerOptions readinessOptions(EntryContext &Context) {
  http::ServerOptions Options =
      serverOptions(Context.Options.ReadinessAddress, "readiness");
  Options.Budget = ReadinessBudget;
  Options.MaxSocketHandle =
      maxSocketHandle(Context.Options, DescriptorsForFiles);
  Options.Counters = &Context.EntryMetrics;
  Options.Limits = [] { return ReadinessLimits; };
  return Options;
}

/// Tells the load balancer whether to send requests to this entry.
class ReadinessHandler final : public http::Handler {
public:
  explicit ReadinessHandler(EntryContext &Context) : Context(Context) {}

  void handle(http::Request, http::Responder Respond) override {
    TimePoint Now = monotonicNow();
    bool StoreAnswers =
        Now < Context.StoreHealth.lastAnswer() + ReadinessSilenceLimit;
    bool Ready =
        Context.Config.current() && StoreAnswers && !Context.Draining.load();
    if (Ready != WasReady) {
      WasReady = Ready;
      logInfo("readiness", "ready={} configured={} store_silent_ms={}", Ready,
              Context.Config.current() != nullptr,
              toMillis(Now - Context.StoreHealth.lastAnswer()));
    }
    Respond({.Status = Ready ? http::StatusOk : http::StatusUnavailable,
             .Body = Ready ? "ready\n" : "not ready\n"});
  }

private:
  EntryContext &Context;
  bool WasReady = false; ///< Used on the server's thread only.
};

class EntryProcess {
public:
  EntryProcess(const config::CellSettings &Options, const Ports &Platform)
      : Context(Options, newIncarnation(), Platform), Advice(Context),
        Relay(
            {.Listen = Options.RelayAddress},
            [this](executor::AdviceCall Call, executor::AdviceDone Done) {
              return Advice.enqueue(std::move(Call), std::move(Done));
            },
            Context.Offers),
        Watch(Context, Advice, Relay), Intake(Context, Relay),
        ReadinessCheck(Context), Status(Context),
        CallerServer(callerOptions(Context), Intake),
        ReadinessServer(readinessOptions(Context), ReadinessCheck),
        OperatorServer(serverOptions(Options.OperatorAddress, "operators"),
                       Status) {}

  std::error_code start() {
    Advice.start();
    if (auto Failure = Relay.start())
      return Failure;
    Intake.start();
    Watch.start();
    if (auto Failure = OperatorServer.start())
      return Failure;
    if (auto Failure = CallerServer.start())
      return Failure;
    if (auto Failure = ReadinessServer.start())
      return Failure;
    logInfo("started", "entry={} zone={} incarnation={} callers={} relay={}",
            Context.Options.Name, Context.Options.AvailabilityZone,
            Context.Incarnation, Context.Options.CallerAddress.text(),
            Context.Options.RelayAddress.text());
    Context.Events.add("entry-started", Context.Options.Name,
                       "incarnation=" + Context.Incarnation);
    return {};
  }

  void shutDown() {
    TimePoint StartedAt = monotonicNow();
    logInfo("stopping", "entry={} open={}", Context.Options.Name,
            Intake.openRequests());
    Context.Draining.store(true);
    ShutdownPlan Plan(StartedAt, Context.Options.DrainLimit);
    Watch.release(Plan.releaseLimit(monotonicNow()));
    std::this_thread::sleep_for(Plan.loadBalancerWait(monotonicNow()));
    CallerServer.stop(Plan.answerLimit(monotonicNow()));
    logInfo("stopped", "entry={} took_ms={}", Context.Options.Name,
            toMillis(monotonicNow() - StartedAt));
  }

private:
  EntryContext Context;
  AdviceLoop Advice;
  relay::RelayLoop Relay;
  WatchLoop Watch;
  IntakeLoop Intake;
  ReadinessHandler ReadinessCheck;
  StatusApi Status;
  http::Server CallerServer;
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

int serveCell(const config::CellSettings &Options, const Ports &Platform) {
  // All threads inherit the mask; this one waits for the signals.
  sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  makeLogNonBlocking();
  EntryProcess Process(Options, Platform);
  if (auto Failure = Process.start()) {
    logError("start-failed", "error={}", Failure.message());
    // Loops that have started hold no state that must be released.
    std::_Exit(1);
  }
  int Received = SIGHUP;
  while (Received == SIGHUP) {
    sigwait(&Signals, &Received);
    if (Received == SIGHUP)
      logInfo("reload", "entry={} changed=none", Options.Name);
  }
  Process.shutDown();
  // The remaining loops own no service and have no caller to answer.
  std::fflush(stdout);
  std::_Exit(0);
}

} // namespace daisylanding::node
