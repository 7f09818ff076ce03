#include "node/AdviceLoop.h"

namespace daisylanding::node {

namespace {

/// The policy service refuses further calls of an instance that has this many
/// waiting.
constexpr size_t MaxWaitingCalls = 32;
constexpr Millis MaxPollWait{500};

} // namespace

AdviceLoop::AdviceLoop(EntryContext &Context)
    : Context(Context),
      Client({.MaxConnectionsPerHost = static_cast<long>(MaxWaitingCalls)}),
      Queue(MaxWaitingCalls, [this] { Client.wake(); }) {}

void AdviceLoop::start() {
  Loop.start("advice", [this] { run(); });
}

void AdviceLoop::stop() {
  Loop.requestStop();
  Client.wake();
  Loop.join();
}

bool AdviceLoop::enqueue(executor::AdviceCall Call, executor::AdviceDone Done) {
  return Queue.push({std::move(Call), std::move(Done)});
}

void AdviceLoop::run() {
  auto Port = Context.Platform.makeAdvicePort(Client);
  while (!Loop.stopping()) {
    QueuedCall Queued;
    while (Queue.pop(Queued))
      Port->requestAdvice(Queued.Call, std::move(Queued.Done));
    Client.poll(MaxPollWait);
  }
}

} // namespace daisylanding::node
