#include "relay/RelayLoop.h"

#include "common/Log.h"
#include "schema/relay.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>

namespace daisylanding::relay {

namespace {

constexpr size_t QueueCapacity = 512;
/// Added to a call's own timeout for the round trip between the entries.
constexpr Millis CallGrace{100};

/// Owners refuse jobs since the schema was generated last. Entries of a version
/// that doesn't know the verdict take the outcome for unknown, and store the
/// job themselves.
constexpr auto RefusedVerdict = static_cast<wire::Verdict>(
    static_cast<uint16_t>(wire::Verdict::EXPIRED) + 1);

wire::Verdict toWire(cell::OfferOutcome Outcome) {
  switch (Outcome) {
  case cell::OfferOutcome::Stored:
    return wire::Verdict::STORED;
  case cell::OfferOutcome::StoredBefore:
    return wire::Verdict::STORED_BEFORE;
  case cell::OfferOutcome::OtherWork:
    return wire::Verdict::OTHER_WORK;
  case cell::OfferOutcome::NotOwner:
    return wire::Verdict::NOT_OWNER;
  case cell::OfferOutcome::Busy:
    return wire::Verdict::BUSY;
  case cell::OfferOutcome::Expired:
    return wire::Verdict::EXPIRED;
  case cell::OfferOutcome::Refused:
    return RefusedVerdict;
  case cell::OfferOutcome::Unknown:
    break;
  }
  return wire::Verdict::UNKNOWN;
}

cell::OfferOutcome fromWire(wire::Verdict WireOutcome) {
  if (WireOutcome == RefusedVerdict)
    return cell::OfferOutcome::Refused;
  switch (WireOutcome) {
  case wire::Verdict::STORED:
    return cell::OfferOutcome::Stored;
  case wire::Verdict::STORED_BEFORE:
    return cell::OfferOutcome::StoredBefore;
  case wire::Verdict::OTHER_WORK:
    return cell::OfferOutcome::OtherWork;
  case wire::Verdict::NOT_OWNER:
  case wire::Verdict::WRONG_VERSION:
    return cell::OfferOutcome::NotOwner;
  case wire::Verdict::BUSY:
    return cell::OfferOutcome::Busy;
  case wire::Verdict::EXPIRED:
    return cell::OfferOutcome::Expired;
  case wire::Verdict::UNKNOWN:
    break;
  }
  // An outcome added by a newer version may mean that the job was stored.
  return cell::OfferOutcome::Unknown;
}

executor::Advice readAdvice(wire::Relay::AdviseResults::Reader Results) {
  executor::Advice Advice;
  Advice.Validity = Millis(Results.getValidityMs());
  for (auto Ticket : Results.getAllowed())
    Advice.Tickets.push_back(
        {Ticket.getExecutor().cStr(), Ticket.getText().cStr()});
  return Advice;
}

void writeAdvice(wire::Relay::AdviseResults::Builder Results,
                 const Result<executor::Advice> &Advice) {
  if (!Advice) {
    bool Busy = Advice.error() == Errc::BudgetExhausted;
    Results.setStatus(Busy ? wire::Status::BUSY : wire::Status::FAILED);
    return;
  }
  Results.setStatus(wire::Status::OK);
  Results.setValidityMs(static_cast<uint32_t>(Advice->Validity.count()));
  auto Tickets =
      Results.initAllowed(static_cast<unsigned>(Advice->Tickets.size()));
  for (unsigned I = 0; I < Tickets.size(); ++I) {
    Tickets[I].setExecutor(Advice->Tickets[I].ExecutorId);
    Tickets[I].setText(Advice->Tickets[I].Text);
  }
}

} // namespace

/// State that is used on the loop's thread only.
struct RelayLoop::Impl : private kj::TaskSet::ErrorHandler {
  explicit Impl(RelayLoop &Parent)
      : Parent(Parent), Io(kj::setupAsyncIo()), Tasks(*this) {}

  class Service;

  /// A connection to another entry; calls in flight keep it alive after it has
  /// been dropped from `Connections`.
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> Opened)
        : Stream(kj::mv(Opened)), Client(*Stream),
          Peer(Client.bootstrap().castAs<wire::Relay>()) {}
    kj::Own<kj::AsyncIoStream> Stream;
    capnp::TwoPartyClient Client;
    wire::Relay::Client Peer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void run();
  kj::Promise<void> watchWakeups();
  void sendQueuedCalls();
  void sendAdviceCall(RelayAdviceCall Call);
  void sendOffer(RelayOffer Offer);
  kj::Promise<ConnectionPtr> connect(const std::string &Address);
  void taskFailed(kj::Exception &&Failure) override {
    logWarn("relay-task-failed", "reason=\"{}\"",
            Failure.getDescription().cStr());
  }

  RelayLoop &Parent;
  kj::AsyncIoContext Io;
  kj::TaskSet Tasks;
  std::map<std::string, ConnectionPtr> Connections;
  kj::Own<kj::AsyncInputStream> WakeupStream;
  char WakeBuffer[64] = {};
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
};

class RelayLoop::Impl::Service final : public wire::Relay::Server {
public:
  explicit Service(RelayLoop &Parent) : Parent(Parent) {}

  kj::Promise<void> advise(AdviseContext Context) override {
    auto Params = Context.getParams();
    if (Params.getVersion() != wire::PROTOCOL_VERSION) {
      Context.getResults().setStatus(wire::Status::WRONG_VERSION);
      return kj::READY_NOW;
    }
    executor::AdviceCall Call{.Step = Params.getStep().cStr(),
                              .Timeout = Millis(Params.getTimeoutMs())};
    for (auto Executor : Params.getExecutors())
      Call.ExecutorIds.emplace_back(Executor.cStr());
    auto PromisePair =
        kj::newPromiseAndCrossThreadFulfiller<Result<executor::Advice>>();
    auto Fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<Result<executor::Advice>>>>(
        kj::mv(PromisePair.fulfiller));
    bool Queued = Parent.AdviceQueue(std::move(Call), [Fulfiller](auto Answer) {
      (*Fulfiller)->fulfill(std::move(Answer));
    });
    if (!Queued) {
      Context.getResults().setStatus(wire::Status::BUSY);
      return kj::READY_NOW;
    }
    return PromisePair.promise.then(
        [Context](const Result<executor::Advice> &Answer) mutable {
          writeAdvice(Context.getResults(), Answer);
        });
  }

  kj::Promise<void> offer(OfferContext Context) override {
    auto Params = Context.getParams();
    if (Params.getVersion() != wire::PROTOCOL_VERSION) {
      Context.getResults().setVerdict(wire::Verdict::WRONG_VERSION);
      return kj::READY_NOW;
    }
    auto Job = cell::decodeJob(Params.getJob().cStr());
    if (!Job)
      return KJ_EXCEPTION(FAILED, "malformed job");
    auto PromisePair =
        kj::newPromiseAndCrossThreadFulfiller<cell::OfferOutcome>();
    auto Fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<cell::OfferOutcome>>>(
        kj::mv(PromisePair.fulfiller));
    Parent.LocalOffers.deliver(
        Params.getService().cStr(),
        {.Job = std::move(*Job),
         .SearchedVersion = Params.getSearchedVersion(),
         .TimeLeft = Millis(Params.getWithinMs()),
         .Done =
             [Fulfiller](cell::OfferOutcome Outcome) {
               (*Fulfiller)->fulfill(cell::OfferOutcome(Outcome));
             }},
        monotonicNow());
    return PromisePair.promise.then(
        [Context](cell::OfferOutcome Outcome) mutable {
          Context.getResults().setVerdict(toWire(Outcome));
        });
  }

private:
  RelayLoop &Parent;
};

void RelayLoop::Impl::run() {
  auto Address =
      Io.provider->getNetwork()
          .parseAddress(Parent.Options.Listen.Host, Parent.Options.Listen.Port)
          .wait(Io.waitScope);
  auto Listener = Address->listen();
  Parent.Ready.set_value(true);
  capnp::TwoPartyServer Server(kj::heap<Service>(Parent));
  Tasks.add(Server.listen(*Listener));
  WakeupStream = Io.lowLevelProvider->wrapInputFd(
      Parent.Waker.readEnd(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  Tasks.add(watchWakeups());
  auto Stop = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(Stop.fulfiller);
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> RelayLoop::Impl::watchWakeups() {
  return WakeupStream->tryRead(WakeBuffer, 1, sizeof(WakeBuffer))
      .then([this](size_t) -> kj::Promise<void> {
        if (Parent.Loop.stopping()) {
          StopFulfiller->fulfill();
          return kj::READY_NOW;
        }
        sendQueuedCalls();
        return watchWakeups();
      });
}

void RelayLoop::Impl::sendQueuedCalls() {
  RelayAdviceCall Call;
  while (Parent.AdviceCalls.pop(Call))
    sendAdviceCall(std::move(Call));
  RelayOffer Offer;
  while (Parent.Offers.pop(Offer))
    sendOffer(std::move(Offer));
}

kj::Promise<RelayLoop::Impl::ConnectionPtr>
RelayLoop::Impl::connect(const std::string &Address) {
  auto It = Connections.find(Address);
  if (It != Connections.end())
    return It->second;
  auto Opening = Io.provider->getNetwork()
                     .parseAddress(Address)
                     .then([](kj::Own<kj::NetworkAddress> Parsed) {
                       auto Connected = Parsed->connect();
                       return Connected.attach(kj::mv(Parsed));
                     })
                     .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
                       ConnectionPtr &Existing = Connections[Address];
                       if (!Existing)
                         Existing =
                             std::make_shared<Connection>(kj::mv(Stream));
                       return Existing;
                     });
  return Io.provider->getTimer().timeoutAfter(
      Parent.Options.ConnectTimeout.count() * kj::MILLISECONDS,
      kj::mv(Opening));
}

void RelayLoop::Impl::sendAdviceCall(RelayAdviceCall Call) {
  auto Done = std::make_shared<executor::AdviceDone>(std::move(Call.Done));
  auto Timeout = (Call.Request.Timeout + CallGrace).count() * kj::MILLISECONDS;
  std::string Address = Call.Address;
  auto Response = connect(Address).then(
      [AdviceRequest = std::move(Call.Request)](const ConnectionPtr &Opened) {
        auto Request = Opened->Peer.adviseRequest();
        Request.setVersion(wire::PROTOCOL_VERSION);
        Request.setStep(AdviceRequest.Step);
        Request.setTimeoutMs(
            static_cast<uint32_t>(AdviceRequest.Timeout.count()));
        auto Names = Request.initExecutors(
            static_cast<unsigned>(AdviceRequest.ExecutorIds.size()));
        for (unsigned I = 0; I < Names.size(); ++I)
          Names.set(I, AdviceRequest.ExecutorIds[I]);
        return Request.send().attach(ConnectionPtr(Opened));
      });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(Timeout, kj::mv(Response))
                .then([Done](auto &&Answer) {
                  if (Answer.getStatus() == wire::Status::OK)
                    (*Done)(readAdvice(Answer));
                  else if (Answer.getStatus() == wire::Status::BUSY)
                    (*Done)(Errc::BudgetExhausted);
                  else
                    (*Done)(Errc::AnswerLost);
                })
                .catch_([this, Done, Address](kj::Exception &&) {
                  // Drop a silent connection; the next call opens a new one.
                  Connections.erase(Address);
                  (*Done)(Errc::Unreachable);
                }));
}

void RelayLoop::Impl::sendOffer(RelayOffer Offer) {
  auto Done = std::make_shared<std::function<void(Result<cell::OfferOutcome>)>>(
      std::move(Offer.Done));
  auto Sent = std::make_shared<bool>(false);
  std::string Address = Offer.Address;
  auto Timeout = Offer.Timeout.count() * kj::MILLISECONDS;
  auto Response = connect(Address).then(
      [Sent, Service = std::move(Offer.Service), Job = std::move(Offer.Job),
       SearchedVersion = Offer.SearchedVersion,
       Within = Offer.Timeout](const ConnectionPtr &Opened) {
        auto Request = Opened->Peer.offerRequest();
        Request.setVersion(wire::PROTOCOL_VERSION);
        Request.setService(Service);
        Request.setJob(Job);
        Request.setSearchedVersion(SearchedVersion);
        Request.setWithinMs(static_cast<uint32_t>(Within.count()));
        *Sent = true;
        return Request.send().attach(ConnectionPtr(Opened));
      });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(Timeout, kj::mv(Response))
                .then([Done](auto &&Answer) {
                  (*Done)(fromWire(Answer.getVerdict()));
                })
                .catch_([this, Done, Sent, Address](kj::Exception &&) {
                  Connections.erase(Address);
                  (*Done)(*Sent ? Errc::AnswerLost : Errc::Unreachable);
                }));
}

RelayLoop::RelayLoop(RelayOptions Options, LocalAdviceQueue AdviceQueue,
                     cell::OfferRegistry &LocalOffers)
    : AdviceCalls(QueueCapacity, [this] { wake(); }),
      Offers(QueueCapacity, [this] { wake(); }), Options(std::move(Options)),
      AdviceQueue(std::move(AdviceQueue)), LocalOffers(LocalOffers) {}

RelayLoop::~RelayLoop() { stop(); }

std::error_code RelayLoop::start() {
  if (auto Failure = Waker.open())
    return Failure;
  Loop.start("relay", [this] {
    try {
      Impl Implementation(*this);
      Implementation.run();
    } catch (const kj::Exception &Failure) {
      logError("relay-stopped", "reason=\"{}\"",
               Failure.getDescription().cStr());
      Ready.set_value(false);
    }
  });
  return Ready.get_future().get() ? std::error_code() : Errc::SystemFailure;
}

void RelayLoop::stop() {
  Loop.requestStop();
  wake();
  Loop.join();
}

} // namespace daisylanding::relay
