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
/// Beyond a call's own time: for the way there and back.
constexpr Millis CallGrace{100};

wire::Verdict toWire(cell::OfferOutcome With) {
  switch (With) {
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
  case cell::OfferOutcome::Unknown:
    break;
  }
  return wire::Verdict::UNKNOWN;
}

cell::OfferOutcome fromWire(wire::Verdict With) {
  switch (With) {
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
  // A word that this program does not know may mean that it was stored.
  return cell::OfferOutcome::Unknown;
}

executor::Advice readAdvice(wire::Relay::AdviseResults::Reader Source) {
  executor::Advice Out;
  Out.Validity = Millis(Source.getValidityMs());
  for (auto Each : Source.getAllowed())
    Out.Tickets.push_back({Each.getExecutor().cStr(), Each.getText().cStr()});
  return Out;
}

void writeAdvice(wire::Relay::AdviseResults::Builder Out,
                 const Result<executor::Advice> &Answer) {
  if (!Answer) {
    bool Busy = Answer.error() == Errc::BudgetExhausted;
    Out.setStatus(Busy ? wire::Status::BUSY : wire::Status::FAILED);
    return;
  }
  Out.setStatus(wire::Status::OK);
  Out.setValidityMs(static_cast<uint32_t>(Answer->Validity.count()));
  auto Rows = Out.initAllowed(static_cast<unsigned>(Answer->Tickets.size()));
  for (unsigned I = 0; I < Rows.size(); ++I) {
    Rows[I].setExecutor(Answer->Tickets[I].ExecutorId);
    Rows[I].setText(Answer->Tickets[I].Text);
  }
}

} // namespace

/// Everything that lives on the loop's thread.
struct RelayLoop::Impl : private kj::TaskSet::ErrorHandler {
  explicit Impl(RelayLoop &Owner)
      : Owner(Owner), Io(kj::setupAsyncIo()), Tasks(*this) {}

  class Service;

  /// A connection; calls that are under way keep it when it is left.
  struct Link {
    explicit Link(kj::Own<kj::AsyncIoStream> Opened)
        : Stream(kj::mv(Opened)), Client(*Stream),
          Peer(Client.bootstrap().castAs<wire::Relay>()) {}
    kj::Own<kj::AsyncIoStream> Stream;
    capnp::TwoPartyClient Client;
    wire::Relay::Client Peer;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void run();
  kj::Promise<void> watchWakeups();
  void drainCalls();
  void ask(RelayCall Call);
  void offer(OfferCall Call);
  kj::Promise<LinkPtr> connect(const std::string &Address);
  void taskFailed(kj::Exception &&Failure) override {
    logWarn("relay-task-failed", "reason=\"{}\"",
            Failure.getDescription().cStr());
  }

  RelayLoop &Owner;
  kj::AsyncIoContext Io;
  kj::TaskSet Tasks;
  std::map<std::string, LinkPtr> Links;
  kj::Own<kj::AsyncInputStream> Wakeups;
  char WakeBuffer[64] = {};
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
};

class RelayLoop::Impl::Service final : public wire::Relay::Server {
public:
  explicit Service(RelayLoop &Owner) : Owner(Owner) {}

  kj::Promise<void> advise(AdviseContext Context) override {
    auto Params = Context.getParams();
    if (Params.getVersion() != wire::PROTOCOL_VERSION) {
      Context.getResults().setStatus(wire::Status::WRONG_VERSION);
      return kj::READY_NOW;
    }
    executor::AdviceCall Call{.Step = Params.getStep().cStr(),
                              .Timeout = Millis(Params.getTimeoutMs())};
    for (auto Each : Params.getExecutors())
      Call.ExecutorIds.emplace_back(Each.cStr());
    auto Pair =
        kj::newPromiseAndCrossThreadFulfiller<Result<executor::Advice>>();
    auto Fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<Result<executor::Advice>>>>(
        kj::mv(Pair.fulfiller));
    bool Queued = Owner.Line(std::move(Call), [Fulfiller](auto Answer) {
      (*Fulfiller)->fulfill(std::move(Answer));
    });
    if (!Queued) {
      Context.getResults().setStatus(wire::Status::BUSY);
      return kj::READY_NOW;
    }
    return Pair.promise.then(
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
      return KJ_EXCEPTION(FAILED, "the job can't be read");
    auto Pair = kj::newPromiseAndCrossThreadFulfiller<cell::OfferOutcome>();
    auto Fulfiller = std::make_shared<
        kj::Own<kj::CrossThreadPromiseFulfiller<cell::OfferOutcome>>>(
        kj::mv(Pair.fulfiller));
    Owner.Offers.deliver(Params.getService().cStr(),
                         {.Job = std::move(*Job),
                          .TimeLeft = Millis(Params.getWithinMs()),
                          .Done = [Fulfiller](cell::OfferOutcome With) {
                            (*Fulfiller)->fulfill(cell::OfferOutcome(With));
                          }});
    return Pair.promise.then([Context](cell::OfferOutcome With) mutable {
      Context.getResults().setVerdict(toWire(With));
    });
  }

private:
  RelayLoop &Owner;
};

void RelayLoop::Impl::run() {
  auto Address =
      Io.provider->getNetwork()
          .parseAddress(Owner.Options.Listen.Host, Owner.Options.Listen.Port)
          .wait(Io.waitScope);
  auto Listener = Address->listen();
  Owner.Ready.set_value(true);
  capnp::TwoPartyServer Server(kj::heap<Service>(Owner));
  Tasks.add(Server.listen(*Listener));
  Wakeups = Io.lowLevelProvider->wrapInputFd(
      Owner.Waker.readEnd(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  Tasks.add(watchWakeups());
  auto Stop = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(Stop.fulfiller);
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> RelayLoop::Impl::watchWakeups() {
  return Wakeups->tryRead(WakeBuffer, 1, sizeof(WakeBuffer))
      .then([this](size_t) -> kj::Promise<void> {
        if (Owner.Loop.stopping()) {
          StopFulfiller->fulfill();
          return kj::READY_NOW;
        }
        drainCalls();
        return watchWakeups();
      });
}

void RelayLoop::Impl::drainCalls() {
  RelayCall Next;
  while (Owner.Calls.pop(Next))
    ask(std::move(Next));
  OfferCall Offered;
  while (Owner.OfferCalls.pop(Offered))
    offer(std::move(Offered));
}

kj::Promise<RelayLoop::Impl::LinkPtr>
RelayLoop::Impl::connect(const std::string &Address) {
  auto Known = Links.find(Address);
  if (Known != Links.end())
    return Known->second;
  auto Opened = Io.provider->getNetwork()
                    .parseAddress(Address)
                    .then([](kj::Own<kj::NetworkAddress> Parsed) {
                      auto Connected = Parsed->connect();
                      return Connected.attach(kj::mv(Parsed));
                    })
                    .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
                      LinkPtr &Each = Links[Address];
                      if (!Each)
                        Each = std::make_shared<Link>(kj::mv(Stream));
                      return Each;
                    });
  return Io.provider->getTimer().timeoutAfter(
      Owner.Options.ConnectTimeout.count() * kj::MILLISECONDS, kj::mv(Opened));
}

void RelayLoop::Impl::ask(RelayCall Call) {
  auto Done = std::make_shared<executor::AdviceDone>(std::move(Call.Done));
  auto Limit = (Call.Call.Timeout + CallGrace).count() * kj::MILLISECONDS;
  std::string Address = Call.Address;
  auto Answered = connect(Address).then(
      [Question = std::move(Call.Call)](const LinkPtr &Through) {
        auto Request = Through->Peer.adviseRequest();
        Request.setVersion(wire::PROTOCOL_VERSION);
        Request.setStep(Question.Step);
        Request.setTimeoutMs(static_cast<uint32_t>(Question.Timeout.count()));
        auto Names = Request.initExecutors(
            static_cast<unsigned>(Question.ExecutorIds.size()));
        for (unsigned I = 0; I < Names.size(); ++I)
          Names.set(I, Question.ExecutorIds[I]);
        return Request.send().attach(LinkPtr(Through));
      });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(Limit, kj::mv(Answered))
                .then([Done](auto &&Answer) {
                  if (Answer.getStatus() == wire::Status::OK)
                    (*Done)(readAdvice(Answer));
                  else if (Answer.getStatus() == wire::Status::BUSY)
                    (*Done)(Errc::BudgetExhausted);
                  else
                    (*Done)(Errc::AnswerLost);
                })
                .catch_([this, Done, Address](kj::Exception &&) {
                  // A silent connection is left; the next call opens anew.
                  Links.erase(Address);
                  (*Done)(Errc::Unreachable);
                }));
}

void RelayLoop::Impl::offer(OfferCall Call) {
  auto Done = std::make_shared<std::function<void(Result<cell::OfferOutcome>)>>(
      std::move(Call.Done));
  auto Sent = std::make_shared<bool>(false);
  std::string Address = Call.Address;
  auto Limit = Call.Timeout.count() * kj::MILLISECONDS;
  auto Answered = connect(Address).then(
      [Sent, Service = std::move(Call.Service), Job = std::move(Call.Job),
       Within = Call.Within](const LinkPtr &Through) {
        auto Request = Through->Peer.offerRequest();
        Request.setVersion(wire::PROTOCOL_VERSION);
        Request.setService(Service);
        Request.setJob(Job);
        Request.setWithinMs(static_cast<uint32_t>(Within.count()));
        *Sent = true;
        return Request.send().attach(LinkPtr(Through));
      });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(Limit, kj::mv(Answered))
                .then([Done](auto &&Answer) {
                  (*Done)(fromWire(Answer.getVerdict()));
                })
                .catch_([this, Done, Sent, Address](kj::Exception &&) {
                  Links.erase(Address);
                  (*Done)(*Sent ? Errc::AnswerLost : Errc::Unreachable);
                }));
}

RelayLoop::RelayLoop(RelayOptions Options, OwnLine Line,
                     cell::OfferRegistry &Offers)
    : Calls(QueueCapacity, [this] { wake(); }),
      OfferCalls(QueueCapacity, [this] { wake(); }),
      Options(std::move(Options)), Line(std::move(Line)), Offers(Offers) {}

RelayLoop::~RelayLoop() { stop(); }

std::error_code RelayLoop::start() {
  if (auto Failure = Waker.open())
    return Failure;
  Loop.start("relay", [this] {
    try {
      Impl Inner(*this);
      Inner.run();
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
