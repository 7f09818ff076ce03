#include "endpoint/EndpointLoop.h"

namespace daisylanding::endpoint {

namespace {

constexpr Millis PollInterval{100};

} // namespace

EndpointLoop::EndpointLoop(EndpointLoopOptions Options,
                           std::function<void()> WakeConsumer)
    : Calls(Options.RingCapacity, [this] { Client.wake(); }),
      Replies(Options.RingCapacity, std::move(WakeConsumer)), Options(Options),
      Client({.MaxConnectionsPerHost = Options.ConnectionsPerEndpoint}) {}

void EndpointLoop::start() {
  Loop.start("endpoints", [this] { run(); });
}

void EndpointLoop::run() {
  while (!Loop.stopping()) {
    EndpointCall Call;
    while (Calls.pop(Call))
      startCall(std::move(Call));
    Client.poll(PollInterval);
    deliverReplies();
  }
}

void EndpointLoop::startCall(EndpointCall Call) {
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Call.Address + "/v1/run/" + Call.Service;
  Request.Body = std::move(Call.Body);
  Request.Timeout = Call.Timeout;
  Request.ConnectTimeout = std::min(Options.ConnectTimeout, Call.Timeout);
  Request.FreshConnection = !Call.Repeatable;
  Request.Headers = {{"Content-Type", Call.ContentType.empty()
                                          ? "application/octet-stream"
                                          : Call.ContentType}};
  if (!Call.IdempotencyKey.empty())
    Request.Headers.emplace_back("Idempotency-Key", Call.IdempotencyKey);
  Client.start(std::move(Request),
               [this, Id = Call.Id](http::CallResult Answer) {
                 PendingReplies.push_back({Id, std::move(Answer)});
               });
}

void EndpointLoop::deliverReplies() {
  while (!PendingReplies.empty()) {
    if (!Replies.push(PendingReplies.front()))
      return;
    PendingReplies.pop_front();
  }
}

} // namespace daisylanding::endpoint
