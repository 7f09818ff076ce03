#include "peer/PeerLoop.h"

#include "common/Log.h"
#include "config/ClusterConfig.h"
#include "peer/Wire.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace daisylanding::peer {

namespace {

constexpr size_t ForwardQueueCapacity = 1'024;
constexpr size_t CallQueueCapacity = 256;
/// Gossip interval between entries of one zone, which balance load among
/// themselves, and the number of such intervals between exchanges with entries
/// of other zones.
constexpr unsigned SameZoneGossipMillis = 100;
constexpr unsigned RoundsPerCrossZoneGossip = 10;
constexpr unsigned CallTimeoutMillis = 2'000;
constexpr unsigned ConnectTimeoutMillis = 1'000;

/// Added to the request's time left, so that the peer can send its final
/// response.
constexpr unsigned ForwardGraceMillis = 1'000;

} // namespace

/// State that only the loop's thread uses.
struct PeerLoop::Impl : private kj::TaskSet::ErrorHandler {
  explicit Impl(PeerLoop &Parent)
      : Parent(Parent), Context(Parent.Context), Io(kj::setupAsyncIo()),
        Tasks(*this) {}

  class GateServer;
  class PeerServer;

  /// A connection to one peer and the interface that the peer offered on it.
  struct Connection {
    kj::Own<kj::AsyncIoStream> Stream;
    kj::Own<capnp::TwoPartyClient> Client;
    std::optional<wire::Peer::Client> Peer;
    bool ExchangePending = false;
    uint64_t ReportedConfigVersion = 0; ///< As the peer last reported.
  };

  void run();
  kj::Promise<void> watchWakeups();
  kj::Promise<void> scheduleGossip();
  void exchangeGossip();
  void drainQueues();
  std::set<std::string> peerAddresses(bool SameZoneOnly = false) const;
  kj::Promise<wire::Peer::Client> connect(const std::string &Address);
  void dropConnection(const std::string &Address) {
    Connections.erase(Address);
  }
  [[noreturn]] void throwRefusal(const std::string &Address,
                                 wire::Verdict Verdict);
  void fillGossip(wire::Gossip::Builder Builder, uint64_t PeerConfigVersion);
  void applyGossip(wire::Gossip::Reader Reader);
  void forwardRequest(entry::ForwardCall Call);
  template <typename RequestFn, typename ResponseFn>
  kj::Promise<void> callAllPeers(RequestFn MakeCall, ResponseFn OnResponse);
  void collectEvents(const EventsCall &Query);
  void collectJobs(const JobsCall &Query);
  kj::Promise<std::string> requestLocalJobs(const std::string &JobId);
  void reportForwardDone(uint64_t Id, Result<http::Response> Response);
  void taskFailed(kj::Exception &&Failure) override;

  PeerLoop &Parent;
  entry::EntryContext &Context;
  kj::AsyncIoContext Io;
  kj::TaskSet Tasks;
  std::map<std::string, Connection> Connections;
  std::set<std::string> RefusingPeers;
  kj::Own<kj::AsyncInputStream> WakeupStream;
  char WakeBuffer[64] = {};
  unsigned GossipRound = 0;
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
};

class PeerLoop::Impl::PeerServer final : public wire::Peer::Server {
public:
  explicit PeerServer(Impl &Loop) : Loop(Loop) {}

  kj::Promise<void> exchange(ExchangeContext CallContext) override {
    auto Mine = CallContext.getParams().getMine();
    Loop.applyGossip(Mine);
    Loop.fillGossip(CallContext.getResults().initTheirs(),
                    Mine.getConfigVersion());
    return kj::READY_NOW;
  }

  kj::Promise<void> forward(ForwardContext CallContext) override {
    auto ResponsePair = kj::newPromiseAndCrossThreadFulfiller<http::Response>();
    auto Fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<http::Response>>>(
        kj::mv(ResponsePair.fulfiller));
    entry::IncomingRequest ForwardedRequest{
        .Request = read(CallContext.getParams().getRequest()),
        .Respond =
            [Fulfiller](http::Response Response) {
              (*Fulfiller)->fulfill(std::move(Response));
            },
        .Arrived = monotonicNow(),
        .Forwarded = true};
    if (!Loop.Parent.Hooks.ServeRequest(std::move(ForwardedRequest)))
      kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "queue full"));
    return ResponsePair.promise.then(
        [CallContext](const http::Response &Response) mutable {
          write(CallContext.getResults().initAnswer(), Response);
        });
  }

  kj::Promise<void> wakeInbox(WakeInboxContext) override {
    Loop.Parent.Hooks.PollInbox();
    return kj::READY_NOW;
  }

  kj::Promise<void> events(EventsContext CallContext) override {
    auto Params = CallContext.getParams();
    auto Events =
        Loop.Context.Events.since(Params.getAfter(), Params.getLimit());
    auto EventBuilders = CallContext.getResults().initEvents(Events.size());
    for (unsigned Index = 0; Index < Events.size(); ++Index)
      write(EventBuilders[Index], Events[Index]);
    return kj::READY_NOW;
  }

  kj::Promise<void> jobs(JobsContext CallContext) override {
    std::string JobId = toString(CallContext.getParams().getId());
    return Loop.requestLocalJobs(JobId).then(
        [CallContext](const std::string &Document) mutable {
          CallContext.getResults().setDocument(Document);
        });
  }

private:
  Impl &Loop;
};

class PeerLoop::Impl::GateServer final : public wire::Gate::Server {
public:
  explicit GateServer(Impl &Loop) : Loop(Loop) {}

  kj::Promise<void> open(OpenContext CallContext) override {
    auto Params = CallContext.getParams();
    auto Results = CallContext.getResults();
    if (toString(Params.getDeployment()) != Loop.Context.Options.Deployment) {
      Results.setVerdict(wire::Verdict::WRONG_DEPLOYMENT);
    } else if (Params.getVersion() != wire::PROTOCOL_VERSION) {
      Results.setVerdict(wire::Verdict::WRONG_VERSION);
    } else {
      Results.setVerdict(wire::Verdict::ACCEPTED);
      Results.setPeer(kj::heap<PeerServer>(Loop));
    }
    return kj::READY_NOW;
  }

private:
  Impl &Loop;
};

void PeerLoop::Impl::taskFailed(kj::Exception &&Failure) {
  logWarn("peer-task-failed", "reason=\"{}\"", Failure.getDescription().cStr());
}

void PeerLoop::Impl::run() {
  auto &Settings = Context.Options;
  auto Address =
      Io.provider->getNetwork()
          .parseAddress(Settings.PeerAddress.Host, Settings.PeerAddress.Port)
          .wait(Io.waitScope);
  auto Listener = Address->listen();
  Parent.ListenerBound.set_value(true);
  capnp::TwoPartyServer Server(kj::heap<GateServer>(*this));
  Tasks.add(Server.listen(*Listener));
  WakeupStream = Io.lowLevelProvider->wrapInputFd(
      Parent.WakeupPipe.readEnd(),
      kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  Tasks.add(watchWakeups());
  Tasks.add(scheduleGossip());
  auto StopPair = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(StopPair.fulfiller);
  StopPair.promise.wait(Io.waitScope);
}

kj::Promise<void> PeerLoop::Impl::watchWakeups() {
  return WakeupStream->tryRead(WakeBuffer, 1, sizeof(WakeBuffer))
      .then([this](size_t) -> kj::Promise<void> {
        if (Parent.LoopThread.stopping()) {
          StopFulfiller->fulfill();
          return kj::READY_NOW;
        }
        drainQueues();
        return watchWakeups();
      });
}

void PeerLoop::Impl::drainQueues() {
  entry::ForwardCall Call;
  while (Parent.ForwardCalls.pop(Call))
    forwardRequest(std::move(Call));
  WakeInboxCall WakeCall;
  while (Parent.WakeInboxCalls.pop(WakeCall)) {
    Tasks.add(connect(WakeCall.PeerAddress)
                  .then([](wire::Peer::Client Peer) {
                    return Peer.wakeInboxRequest().send().ignoreResult();
                  })
                  .catch_([](kj::Exception &&) {}));
  }
  EventsCall EventsQuery;
  while (Parent.EventsCalls.pop(EventsQuery))
    collectEvents(EventsQuery);
  JobsCall JobsQuery;
  while (Parent.JobsCalls.pop(JobsQuery))
    collectJobs(JobsQuery);
}

std::set<std::string> PeerLoop::Impl::peerAddresses(bool SameZoneOnly) const {
  std::set<std::string> Addresses;
  if (!SameZoneOnly)
    Addresses.insert(Context.Options.PeerSeeds.begin(),
                     Context.Options.PeerSeeds.end());
  for (const entry::Member &Member : Context.Views.current()->Members) {
    bool SameZone = Member.AvailabilityZone == Context.Options.AvailabilityZone;
    if (Member.Alive && (SameZone || !SameZoneOnly))
      Addresses.insert(Member.PeerAddress);
  }
  Addresses.erase(Context.Options.PeerAddress.text());
  return Addresses;
}

kj::Promise<wire::Peer::Client>
PeerLoop::Impl::connect(const std::string &Address) {
  Connection &KnownConnection = Connections[Address];
  if (KnownConnection.Peer)
    return *KnownConnection.Peer;
  auto &Timer = Io.provider->getTimer();
  auto &Network = Io.provider->getNetwork();
  auto PeerPromise =
      Network.parseAddress(Address)
          .then([](kj::Own<kj::NetworkAddress> ParsedAddress) {
            auto StreamPromise = ParsedAddress->connect();
            return StreamPromise.attach(kj::mv(ParsedAddress));
          })
          .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
            Connection &NewConnection = Connections[Address];
            NewConnection.Client = nullptr;
            NewConnection.Stream = kj::mv(Stream);
            NewConnection.Client =
                kj::heap<capnp::TwoPartyClient>(*NewConnection.Stream);
            auto Call = NewConnection.Client->bootstrap()
                            .castAs<wire::Gate>()
                            .openRequest();
            Call.setDeployment(Context.Options.Deployment);
            Call.setVersion(wire::PROTOCOL_VERSION);
            return Call.send();
          })
          .then([this, Address](auto &&Response) -> wire::Peer::Client {
            if (Response.getVerdict() != wire::Verdict::ACCEPTED)
              throwRefusal(Address, Response.getVerdict());
            wire::Peer::Client Peer = Response.getPeer();
            Connections[Address].Peer = Peer;
            return Peer;
          });
  return Timer
      .timeoutAfter(ConnectTimeoutMillis * kj::MILLISECONDS,
                    kj::mv(PeerPromise))
      .catch_([this, Address](kj::Exception &&Failure) -> wire::Peer::Client {
        dropConnection(Address);
        kj::throwFatalException(kj::mv(Failure));
      });
}

/// Logs the refusal once for each peer, since later attempts are refused too.
void PeerLoop::Impl::throwRefusal(const std::string &Address,
                                  wire::Verdict Verdict) {
  std::error_code Failure = Verdict == wire::Verdict::WRONG_VERSION
                                ? Errc::WrongVersion
                                : Errc::WrongDeployment;
  if (RefusingPeers.insert(Address).second)
    logWarn("peer-refused", "peer={} error={}", Address, Failure.message());
  kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "the peer refused the connection"));
}

kj::Promise<void> PeerLoop::Impl::scheduleGossip() {
  return Io.provider->getTimer()
      .afterDelay(SameZoneGossipMillis * kj::MILLISECONDS)
      .then([this] {
        exchangeGossip();
        return scheduleGossip();
      });
}

void PeerLoop::Impl::exchangeGossip() {
  bool SameZoneOnly = GossipRound++ % RoundsPerCrossZoneGossip != 0;
  for (const std::string &Address : peerAddresses(SameZoneOnly)) {
    Connection &PeerConnection = Connections[Address];
    if (PeerConnection.ExchangePending)
      continue;
    PeerConnection.ExchangePending = true;
    uint64_t ReportedConfigVersion = PeerConnection.ReportedConfigVersion;
    auto Exchange = connect(Address).then(
        [this, ReportedConfigVersion](wire::Peer::Client Peer) {
          auto Call = Peer.exchangeRequest();
          fillGossip(Call.initMine(), ReportedConfigVersion);
          return Call.send();
        });
    auto TimedExchange = Io.provider->getTimer().timeoutAfter(
        CallTimeoutMillis * kj::MILLISECONDS, kj::mv(Exchange));
    Tasks.add(TimedExchange
                  .then([this, Address](auto &&Response) {
                    auto Theirs = Response.getTheirs();
                    applyGossip(Theirs);
                    Connection &CurrentConnection = Connections[Address];
                    CurrentConnection.ReportedConfigVersion =
                        Theirs.getConfigVersion();
                    CurrentConnection.ExchangePending = false;
                  })
                  .catch_([this, Address](kj::Exception &&) {
                    // After a failure or time-out the next round reconnects.
                    dropConnection(Address);
                  }));
  }
}

void PeerLoop::Impl::fillGossip(wire::Gossip::Builder Builder,
                                uint64_t PeerConfigVersion) {
  const auto &Settings = Context.Options;
  auto View = Context.Views.current();
  Builder.setEntry(Settings.Name);
  Builder.setZone(Settings.AvailabilityZone);
  Builder.setPeerAddress(Settings.PeerAddress.text());
  Builder.setClock(Context.Events.clock().tick(wallMicros()));
  uint64_t Version = View->Config ? View->Config->Version : 0;
  Builder.setConfigVersion(Version);
  if (Version > PeerConfigVersion)
    Builder.setConfig(config::configToJson(*View->Config).dump());
  auto LocalLoads = Context.LoadDigests.own();
  auto Loads = Builder.initLoads(LocalLoads.size());
  unsigned Index = 0;
  for (const auto &[Service, SpareSlots] : LocalLoads) {
    Loads[Index].setService(Service);
    Loads[Index].setSpare(static_cast<int32_t>(SpareSlots));
    ++Index;
  }
}

void PeerLoop::Impl::applyGossip(wire::Gossip::Reader Reader) {
  Context.Events.clock().observe(Reader.getClock());
  entry::LoadDigest Digest{.Entry = toString(Reader.getEntry()),
                           .AvailabilityZone = toString(Reader.getZone()),
                           .PeerAddress = toString(Reader.getPeerAddress()),
                           .ReceivedAt = monotonicNow()};
  for (auto Load : Reader.getLoads())
    Digest.FreeSlots[toString(Load.getService())] = Load.getSpare();
  Context.LoadDigests.setPeer(std::move(Digest));
  if (Reader.hasConfig())
    (void)Parent.Hooks.OfferConfig(toString(Reader.getConfig()));
}

void PeerLoop::Impl::reportForwardDone(uint64_t Id,
                                       Result<http::Response> Response) {
  (void)Parent.Hooks.ReportForwardDone({Id, std::move(Response)});
}

void PeerLoop::Impl::forwardRequest(entry::ForwardCall Call) {
  uint64_t Id = Call.Id;
  auto RequestSent = std::make_shared<bool>(false);
  auto Timeout =
      (Call.Request.TimeLeft->count() + ForwardGraceMillis) * kj::MILLISECONDS;
  auto ResponsePromise =
      connect(Call.PeerAddress)
          .then([RequestSent,
                 Body = std::move(Call.Request)](wire::Peer::Client Peer) {
            auto Request = Peer.forwardRequest();
            write(Request.initRequest(), Body);
            *RequestSent = true;
            return Request.send();
          });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(Timeout, kj::mv(ResponsePromise))
                .then([this, Id](auto &&Response) {
                  reportForwardDone(Id, read(Response.getAnswer()));
                })
                .catch_([this, Id, RequestSent,
                         Address = Call.PeerAddress](kj::Exception &&) {
                  dropConnection(Address);
                  reportForwardDone(Id, *RequestSent ? Errc::AnswerLost
                                                     : Errc::Unreachable);
                }));
}

/// Calls all peers concurrently. A peer that does not respond in time is left
/// out. Each promise gets a copy of the functions, since kj keeps a reference
/// to an lvalue that it is given.
template <typename RequestFn, typename ResponseFn>
kj::Promise<void> PeerLoop::Impl::callAllPeers(RequestFn MakeCall,
                                               ResponseFn OnResponse) {
  auto Addresses = peerAddresses();
  auto Calls = kj::heapArrayBuilder<kj::Promise<void>>(Addresses.size());
  for (const std::string &Address : Addresses)
    Calls.add(Io.provider->getTimer()
                  .timeoutAfter(CallTimeoutMillis * kj::MILLISECONDS,
                                connect(Address).then(RequestFn(MakeCall)))
                  .then(ResponseFn(OnResponse))
                  .catch_([](kj::Exception &&) {}));
  return kj::joinPromises(Calls.finish());
}

void PeerLoop::Impl::collectEvents(const EventsCall &Query) {
  auto MergedEvents = std::make_shared<std::vector<Event>>(
      Context.Events.since(Query.AfterStamp, Query.Limit));
  auto MakeCall = [AfterStamp = Query.AfterStamp,
                   Limit = Query.Limit](wire::Peer::Client Peer) {
    auto Call = Peer.eventsRequest();
    Call.setAfter(AfterStamp);
    Call.setLimit(Limit);
    return Call.send();
  };
  auto OnResponse = [MergedEvents](auto &&Response) {
    for (auto EventReader : Response.getEvents())
      MergedEvents->push_back(read(EventReader));
  };
  Tasks.add(callAllPeers(MakeCall, OnResponse)
                .then([MergedEvents, ResultPromise = Query.ResultPromise] {
                  ResultPromise->set_value(std::move(*MergedEvents));
                }));
}

kj::Promise<std::string>
PeerLoop::Impl::requestLocalJobs(const std::string &JobId) {
  auto DocumentPair = kj::newPromiseAndCrossThreadFulfiller<std::string>();
  auto Fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<std::string>>>(
          kj::mv(DocumentPair.fulfiller));
  bool Queued = Parent.Hooks.RequestJobsDocument(
      JobId, [Fulfiller](std::string Document) {
        (*Fulfiller)->fulfill(std::move(Document));
      });
  if (!Queued)
    return KJ_EXCEPTION(OVERLOADED, "queue full");
  return kj::mv(DocumentPair.promise);
}

void PeerLoop::Impl::collectJobs(const JobsCall &Query) {
  auto Documents = std::make_shared<std::vector<std::string>>();
  auto LocalJobs = requestLocalJobs(Query.JobId)
                       .then([Documents](std::string Document) {
                         Documents->push_back(std::move(Document));
                       })
                       .catch_([](kj::Exception &&) {});
  auto MakeCall = [JobId = Query.JobId](wire::Peer::Client Peer) {
    auto Call = Peer.jobsRequest();
    Call.setId(JobId);
    return Call.send();
  };
  auto OnResponse = [Documents](auto &&Response) {
    Documents->push_back(toString(Response.getDocument()));
  };
  Tasks.add(callAllPeers(MakeCall, OnResponse)
                .then([LocalJobs = kj::mv(LocalJobs)]() mutable {
                  return kj::mv(LocalJobs);
                })
                .then([Documents, ResultPromise = Query.ResultPromise] {
                  ResultPromise->set_value(std::move(*Documents));
                }));
}

PeerLoop::PeerLoop(entry::EntryContext &Context, PeerHooks Hooks)
    : ForwardCalls(ForwardQueueCapacity, [this] { wake(); }),
      WakeInboxCalls(CallQueueCapacity, [this] { wake(); }),
      EventsCalls(CallQueueCapacity, [this] { wake(); }),
      JobsCalls(CallQueueCapacity, [this] { wake(); }), Context(Context),
      Hooks(std::move(Hooks)) {}

PeerLoop::~PeerLoop() { stop(); }

std::error_code PeerLoop::start() {
  if (auto Failure = WakeupPipe.open())
    return Failure;
  LoopThread.start("peers", [this] {
    try {
      Impl LoopImpl(*this);
      LoopImpl.run();
    } catch (const kj::Exception &Failure) {
      logError("peers-stopped", "reason=\"{}\"",
               Failure.getDescription().cStr());
      ListenerBound.set_value(false);
    }
  });
  return ListenerBound.get_future().get() ? std::error_code()
                                          : Errc::SystemFailure;
}

void PeerLoop::stop() {
  LoopThread.requestStop();
  wake();
  LoopThread.join();
}

} // namespace daisylanding::peer
