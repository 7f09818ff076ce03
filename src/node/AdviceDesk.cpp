#include "node/AdviceDesk.h"

namespace daisylanding::node {

namespace {

/// The policy service refuses a call when so many wait on one line.
constexpr size_t MaxWaitingCalls = 32;
constexpr Millis LongestPoll{500};

} // namespace

AdviceDesk::AdviceDesk(Shared &Common)
    : Common(Common),
      Calls({.MaxConnectionsPerHost = static_cast<long>(MaxWaitingCalls)}),
      Questions(MaxWaitingCalls, [this] { Calls.wake(); }) {}

void AdviceDesk::start() {
  Loop.start("advice", [this] { run(); });
}

void AdviceDesk::stop() {
  Loop.requestStop();
  Calls.wake();
  Loop.join();
}

bool AdviceDesk::ask(executor::AdviceCall Call, executor::AdviceDone Done) {
  return Questions.push({std::move(Call), std::move(Done)});
}

void AdviceDesk::run() {
  auto Port = Common.Around.advice(Calls);
  while (!Loop.stopping()) {
    Question Next;
    while (Questions.pop(Next))
      Port->requestAdvice(Next.Call, std::move(Next.Done));
    Calls.poll(LongestPoll);
  }
}

} // namespace daisylanding::node
