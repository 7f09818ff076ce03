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

constexpr size_t RingCapacity = 1'024;
constexpr size_t QueueCapacity = 256;
/// Between two exchanges with an entry of the same zone, which share load, and
/// with any other.
constexpr unsigned HomeGossipMillis = 100;
constexpr unsigned RoundsPerFarGossip = 10;
constexpr unsigned CallMillis = 2'000;
constexpr unsigned ConnectMillis = 1'000;

/// Beyond the request's own time: for the peer to give its final answer.
constexpr unsigned ForwardGraceMillis = 1'000;

} // namespace

/// Everything that lives on the loop's thread.
struct PeerLoop::Impl : private kj::TaskSet::ErrorHandler {
  explicit Impl(PeerLoop &Owner)
      : Owner(Owner), Shared(Owner.Shared), Io(kj::setupAsyncIo()),
        Tasks(*this) {}

  class GateServer;
  class PeerServer;

  /// One connection to one peer, with what it offered.
  struct Link {
    kj::Own<kj::AsyncIoStream> Stream;
    kj::Own<capnp::TwoPartyClient> Client;
    std::optional<wire::Peer::Client> Peer;
    bool Opening = false;
    uint64_t KnownConfig = 0; ///< The peer's version, as it last told.
  };

  void run();
  kj::Promise<void> watchWakeups();
  kj::Promise<void> gossipForever();
  void gossipOnce();
  void drainQueues();
  std::set<std::string> peerAddresses(bool HomeZoneOnly = false) const;
  kj::Promise<wire::Peer::Client> connect(const std::string &Address);
  void drop(const std::string &Address) { Links.erase(Address); }
  [[noreturn]] void onRefused(const std::string &Address,
                              wire::Verdict Verdict);
  void fillGossip(wire::Gossip::Builder Out, uint64_t PeerConfig);
  void takeGossip(wire::Gossip::Reader Source);
  void forward(entry::ForwardCall Call);
  template <typename Ask, typename Take>
  kj::Promise<void> askAll(Ask Request, Take OnAnswer);
  void collectEvents(const EventsCall &Call);
  void collectJobs(const JobsCall &Call);
  kj::Promise<std::string> ownJobs(const std::string &Job);
  void reportForward(uint64_t Id, Result<http::Response> Answer);
  void taskFailed(kj::Exception &&Failure) override;

  PeerLoop &Owner;
  entry::EntryContext &Shared;
  kj::AsyncIoContext Io;
  kj::TaskSet Tasks;
  std::map<std::string, Link> Links;
  std::set<std::string> RefusedBy;
  kj::Own<kj::AsyncInputStream> Wakeups;
  char WakeBuffer[64] = {};
  unsigned GossipRound = 0;
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
};

class PeerLoop::Impl::PeerServer final : public wire::Peer::Server {
public:
  explicit PeerServer(Impl &Owner) : Owner(Owner) {}

  kj::Promise<void> exchange(ExchangeContext Context) override {
    auto Mine = Context.getParams().getMine();
    Owner.takeGossip(Mine);
    Owner.fillGossip(Context.getResults().initTheirs(),
                     Mine.getConfigVersion());
    return kj::READY_NOW;
  }

  kj::Promise<void> forward(ForwardContext Context) override {
    auto Pair = kj::newPromiseAndCrossThreadFulfiller<http::Response>();
    auto Fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<http::Response>>>(
        kj::mv(Pair.fulfiller));
    entry::IncomingRequest In{.Request = read(Context.getParams().getRequest()),
                              .Respond =
                                  [Fulfiller](http::Response Answer) {
                                    (*Fulfiller)->fulfill(std::move(Answer));
                                  },
                              .Arrived = monotonicNow(),
                              .Forwarded = true};
    if (!Owner.Owner.Hooks.Serve(std::move(In)))
      kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "queue full"));
    return Pair.promise.then([Context](const http::Response &Answer) mutable {
      write(Context.getResults().initAnswer(), Answer);
    });
  }

  kj::Promise<void> wakeInbox(WakeInboxContext) override {
    Owner.Owner.Hooks.PollInbox();
    return kj::READY_NOW;
  }

  kj::Promise<void> events(EventsContext Context) override {
    auto Params = Context.getParams();
    auto List = Owner.Shared.Events.since(Params.getAfter(), Params.getLimit());
    auto Out = Context.getResults().initEvents(List.size());
    for (unsigned I = 0; I < List.size(); ++I)
      write(Out[I], List[I]);
    return kj::READY_NOW;
  }

  kj::Promise<void> jobs(JobsContext Context) override {
    std::string Id = toString(Context.getParams().getId());
    return Owner.ownJobs(Id).then(
        [Context](const std::string &Document) mutable {
          Context.getResults().setDocument(Document);
        });
  }

private:
  Impl &Owner;
};

class PeerLoop::Impl::GateServer final : public wire::Gate::Server {
public:
  explicit GateServer(Impl &Owner) : Owner(Owner) {}

  kj::Promise<void> open(OpenContext Context) override {
    auto Params = Context.getParams();
    auto Results = Context.getResults();
    if (toString(Params.getDeployment()) != Owner.Shared.Options.Deployment) {
      Results.setVerdict(wire::Verdict::WRONG_DEPLOYMENT);
    } else if (Params.getVersion() != wire::PROTOCOL_VERSION) {
      Results.setVerdict(wire::Verdict::WRONG_VERSION);
    } else {
      Results.setVerdict(wire::Verdict::ACCEPTED);
      Results.setPeer(kj::heap<PeerServer>(Owner));
    }
    return kj::READY_NOW;
  }

private:
  Impl &Owner;
};

void PeerLoop::Impl::taskFailed(kj::Exception &&Failure) {
  logWarn("peer-task-failed", "reason=\"{}\"", Failure.getDescription().cStr());
}

void PeerLoop::Impl::run() {
  auto &Options = Shared.Options;
  auto Address =
      Io.provider->getNetwork()
          .parseAddress(Options.PeerAddress.Host, Options.PeerAddress.Port)
          .wait(Io.waitScope);
  auto Listener = Address->listen();
  Owner.Ready.set_value(true);
  capnp::TwoPartyServer Server(kj::heap<GateServer>(*this));
  Tasks.add(Server.listen(*Listener));
  Wakeups = Io.lowLevelProvider->wrapInputFd(
      Owner.Waker.readEnd(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  Tasks.add(watchWakeups());
  Tasks.add(gossipForever());
  auto Stop = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(Stop.fulfiller);
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> PeerLoop::Impl::watchWakeups() {
  return Wakeups->tryRead(WakeBuffer, 1, sizeof(WakeBuffer))
      .then([this](size_t) -> kj::Promise<void> {
        if (Owner.Loop.stopping()) {
          StopFulfiller->fulfill();
          return kj::READY_NOW;
        }
        drainQueues();
        return watchWakeups();
      });
}

void PeerLoop::Impl::drainQueues() {
  entry::ForwardCall Forward;
  while (Owner.Forwards.pop(Forward))
    forward(std::move(Forward));
  WakeInboxCall Wake;
  while (Owner.Wakes.pop(Wake)) {
    Tasks.add(connect(Wake.PeerAddress)
                  .then([](wire::Peer::Client Peer) {
                    return Peer.wakeInboxRequest().send().ignoreResult();
                  })
                  .catch_([](kj::Exception &&) {}));
  }
  EventsCall Events;
  while (Owner.Events.pop(Events))
    collectEvents(Events);
  JobsCall Jobs;
  while (Owner.Jobs.pop(Jobs))
    collectJobs(Jobs);
}

std::set<std::string> PeerLoop::Impl::peerAddresses(bool HomeZoneOnly) const {
  std::set<std::string> Out;
  if (!HomeZoneOnly)
    Out.insert(Shared.Options.PeerSeeds.begin(),
               Shared.Options.PeerSeeds.end());
  for (const entry::Member &Each : Shared.Views.current()->Members) {
    bool Home = Each.AvailabilityZone == Shared.Options.AvailabilityZone;
    if (Each.Alive && (Home || !HomeZoneOnly))
      Out.insert(Each.PeerAddress);
  }
  Out.erase(Shared.Options.PeerAddress.text());
  return Out;
}

kj::Promise<wire::Peer::Client>
PeerLoop::Impl::connect(const std::string &Address) {
  Link &Known = Links[Address];
  if (Known.Peer)
    return *Known.Peer;
  auto &Timer = Io.provider->getTimer();
  auto &Network = Io.provider->getNetwork();
  auto Opened =
      Network.parseAddress(Address)
          .then([](kj::Own<kj::NetworkAddress> Parsed) {
            auto Connected = Parsed->connect();
            return Connected.attach(kj::mv(Parsed));
          })
          .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
            Link &Each = Links[Address];
            Each.Client = nullptr;
            Each.Stream = kj::mv(Stream);
            Each.Client = kj::heap<capnp::TwoPartyClient>(*Each.Stream);
            auto Call =
                Each.Client->bootstrap().castAs<wire::Gate>().openRequest();
            Call.setDeployment(Shared.Options.Deployment);
            Call.setVersion(wire::PROTOCOL_VERSION);
            return Call.send();
          })
          .then([this, Address](auto &&Answer) -> wire::Peer::Client {
            if (Answer.getVerdict() != wire::Verdict::ACCEPTED)
              onRefused(Address, Answer.getVerdict());
            wire::Peer::Client Peer = Answer.getPeer();
            Links[Address].Peer = Peer;
            return Peer;
          });
  return Timer.timeoutAfter(ConnectMillis * kj::MILLISECONDS, kj::mv(Opened))
      .catch_([this, Address](kj::Exception &&Failure) -> wire::Peer::Client {
        drop(Address);
        kj::throwFatalException(kj::mv(Failure));
      });
}

/// Said once for each peer; every later round is refused alike.
void PeerLoop::Impl::onRefused(const std::string &Address,
                               wire::Verdict Verdict) {
  std::error_code Failure = Verdict == wire::Verdict::WRONG_VERSION
                                ? Errc::WrongVersion
                                : Errc::WrongDeployment;
  if (RefusedBy.insert(Address).second)
    logWarn("peer-refused", "peer={} error={}", Address, Failure.message());
  kj::throwFatalException(KJ_EXCEPTION(FAILED, "the peer refused this entry"));
}

kj::Promise<void> PeerLoop::Impl::gossipForever() {
  return Io.provider->getTimer()
      .afterDelay(HomeGossipMillis * kj::MILLISECONDS)
      .then([this] {
        gossipOnce();
        return gossipForever();
      });
}

void PeerLoop::Impl::gossipOnce() {
  bool HomeZoneOnly = GossipRound++ % RoundsPerFarGossip != 0;
  for (const std::string &Address : peerAddresses(HomeZoneOnly)) {
    Link &Each = Links[Address];
    if (Each.Opening)
      continue;
    Each.Opening = true;
    uint64_t KnownConfig = Each.KnownConfig;
    auto Exchange =
        connect(Address).then([this, KnownConfig](wire::Peer::Client Peer) {
          auto Call = Peer.exchangeRequest();
          fillGossip(Call.initMine(), KnownConfig);
          return Call.send();
        });
    auto Timed = Io.provider->getTimer().timeoutAfter(
        CallMillis * kj::MILLISECONDS, kj::mv(Exchange));
    Tasks.add(Timed
                  .then([this, Address](auto &&Answer) {
                    auto Theirs = Answer.getTheirs();
                    takeGossip(Theirs);
                    Link &Known = Links[Address];
                    Known.KnownConfig = Theirs.getConfigVersion();
                    Known.Opening = false;
                  })
                  .catch_([this, Address](kj::Exception &&) {
                    // A silent connection is left; the next round opens anew.
                    drop(Address);
                  }));
  }
}

void PeerLoop::Impl::fillGossip(wire::Gossip::Builder Out,
                                uint64_t PeerConfig) {
  const auto &Options = Shared.Options;
  auto View = Shared.Views.current();
  Out.setEntry(Options.Name);
  Out.setZone(Options.AvailabilityZone);
  Out.setPeerAddress(Options.PeerAddress.text());
  Out.setClock(Shared.Events.clock().tick(wallMicros()));
  uint64_t Version = View->Config ? View->Config->Version : 0;
  Out.setConfigVersion(Version);
  if (Version > PeerConfig)
    Out.setConfig(config::configToJson(*View->Config).dump());
  auto Own = Shared.LoadDigests.own();
  auto Loads = Out.initLoads(Own.size());
  unsigned Next = 0;
  for (const auto &[Service, Spare] : Own) {
    Loads[Next].setService(Service);
    Loads[Next].setSpare(static_cast<int32_t>(Spare));
    ++Next;
  }
}

void PeerLoop::Impl::takeGossip(wire::Gossip::Reader Source) {
  Shared.Events.clock().observe(Source.getClock());
  entry::LoadDigest Digest{.Entry = toString(Source.getEntry()),
                           .AvailabilityZone = toString(Source.getZone()),
                           .PeerAddress = toString(Source.getPeerAddress()),
                           .ReceivedAt = monotonicNow()};
  for (auto Each : Source.getLoads())
    Digest.FreeSlots[toString(Each.getService())] = Each.getSpare();
  Shared.LoadDigests.setPeer(std::move(Digest));
  if (Source.hasConfig())
    (void)Owner.Hooks.OfferConfig(toString(Source.getConfig()));
}

void PeerLoop::Impl::reportForward(uint64_t Id, Result<http::Response> Answer) {
  (void)Owner.Hooks.Forwarded({Id, std::move(Answer)});
}

void PeerLoop::Impl::forward(entry::ForwardCall Call) {
  uint64_t Id = Call.Id;
  auto Sent = std::make_shared<bool>(false);
  auto Limit =
      (Call.Request.TimeLeft->count() + ForwardGraceMillis) * kj::MILLISECONDS;
  auto Answered = connect(Call.PeerAddress)
                      .then([Sent, Body = std::move(Call.Request)](
                                wire::Peer::Client Peer) {
                        auto Request = Peer.forwardRequest();
                        write(Request.initRequest(), Body);
                        *Sent = true;
                        return Request.send();
                      });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(Limit, kj::mv(Answered))
                .then([this, Id](auto &&Answer) {
                  reportForward(Id, read(Answer.getAnswer()));
                })
                .catch_([this, Id, Sent,
                         Address = Call.PeerAddress](kj::Exception &&) {
                  drop(Address);
                  reportForward(Id,
                                *Sent ? Errc::AnswerLost : Errc::Unreachable);
                }));
}

/// Asks every peer at once. A peer that does not answer in time is left out.
/// Each promise gets a copy of the functions: kj keeps what it is given by
/// reference as a reference.
template <typename Ask, typename Take>
kj::Promise<void> PeerLoop::Impl::askAll(Ask Request, Take OnAnswer) {
  auto Addresses = peerAddresses();
  auto Pending = kj::heapArrayBuilder<kj::Promise<void>>(Addresses.size());
  for (const std::string &Address : Addresses)
    Pending.add(Io.provider->getTimer()
                    .timeoutAfter(CallMillis * kj::MILLISECONDS,
                                  connect(Address).then(Ask(Request)))
                    .then(Take(OnAnswer))
                    .catch_([](kj::Exception &&) {}));
  return kj::joinPromises(Pending.finish());
}

void PeerLoop::Impl::collectEvents(const EventsCall &Call) {
  auto Merged = std::make_shared<std::vector<Event>>(
      Shared.Events.since(Call.After, Call.Limit));
  auto Request = [After = Call.After,
                  Limit = Call.Limit](wire::Peer::Client Peer) {
    auto Question = Peer.eventsRequest();
    Question.setAfter(After);
    Question.setLimit(Limit);
    return Question.send();
  };
  auto OnAnswer = [Merged](auto &&Answer) {
    for (auto Each : Answer.getEvents())
      Merged->push_back(read(Each));
  };
  Tasks.add(askAll(Request, OnAnswer).then([Merged, Answer = Call.Answer] {
    Answer->set_value(std::move(*Merged));
  }));
}

kj::Promise<std::string> PeerLoop::Impl::ownJobs(const std::string &Job) {
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<std::string>();
  auto Fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<std::string>>>(
          kj::mv(Pair.fulfiller));
  bool Asked =
      Owner.Hooks.AskJobsDocument(Job, [Fulfiller](std::string Document) {
        (*Fulfiller)->fulfill(std::move(Document));
      });
  if (!Asked)
    return KJ_EXCEPTION(OVERLOADED, "queue full");
  return kj::mv(Pair.promise);
}

void PeerLoop::Impl::collectJobs(const JobsCall &Call) {
  auto Merged = std::make_shared<std::vector<std::string>>();
  auto Own = ownJobs(Call.Job)
                 .then([Merged](std::string Document) {
                   Merged->push_back(std::move(Document));
                 })
                 .catch_([](kj::Exception &&) {});
  auto Request = [Job = Call.Job](wire::Peer::Client Peer) {
    auto Question = Peer.jobsRequest();
    Question.setId(Job);
    return Question.send();
  };
  auto OnAnswer = [Merged](auto &&Answer) {
    Merged->push_back(toString(Answer.getDocument()));
  };
  Tasks.add(askAll(Request, OnAnswer)
                .then([Own = kj::mv(Own)]() mutable { return kj::mv(Own); })
                .then([Merged, Answer = Call.Answer] {
                  Answer->set_value(std::move(*Merged));
                }));
}

PeerLoop::PeerLoop(entry::EntryContext &Shared, PeerHooks Hooks)
    : Forwards(RingCapacity, [this] { wake(); }),
      Wakes(QueueCapacity, [this] { wake(); }),
      Events(QueueCapacity, [this] { wake(); }),
      Jobs(QueueCapacity, [this] { wake(); }), Shared(Shared),
      Hooks(std::move(Hooks)) {}

PeerLoop::~PeerLoop() { stop(); }

std::error_code PeerLoop::start() {
  if (auto Failure = Waker.open())
    return Failure;
  Loop.start("peers", [this] {
    try {
      Impl Inner(*this);
      Inner.run();
    } catch (const kj::Exception &Failure) {
      logError("peers-stopped", "reason=\"{}\"",
               Failure.getDescription().cStr());
      Ready.set_value(false);
    }
  });
  return Ready.get_future().get() ? std::error_code() : Errc::SystemFailure;
}

void PeerLoop::stop() {
  Loop.requestStop();
  wake();
  Loop.join();
}

} // namespace daisylanding::peer
