#include "worker/WorkerLoop.h"

namespace daisylanding::worker {

namespace {

constexpr size_t QueueCapacity = 16'384;
constexpr Millis PollInterval{100};
constexpr size_t MaxReportBytes = 16 << 20;

Result<SyncReport> parseAnswer(const http::CallResult &Answer) {
  if (!Answer)
    return Answer.error();
  if (Answer->Status == http::StatusConflict)
    return Errc::Fenced;
  if (Answer->Status != http::StatusOk)
    return Errc::Malformed;
  return syncReportFromText(Answer->Body);
}

} // namespace

WorkerLoop::WorkerLoop(Millis Timeout, std::function<void()> WakeShardLoop)
    : Calls(QueueCapacity, [this] { Client.wake(); }),
      Results(QueueCapacity, std::move(WakeShardLoop)), Timeout(Timeout),
      Client({.MaxConnectionsPerHost = 64, .MaxIdleConnections = 4'096}) {}

void WorkerLoop::sendSync(const SyncCall &Call) {
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Call.Address + "/v1/sync";
  Request.Body = toText(Call.Request);
  Request.Timeout = Timeout;
  BodyBytes += Request.Body.size();
  ++SyncCount;
  Request.ConnectTimeout = Timeout;
  Request.MaxResponseBytes = MaxReportBytes;
  SyncResult Sync{
      .Shard = Call.Shard, .Epoch = Call.Epoch, .Instance = Call.Instance};
  Client.start(std::move(Request), [this, Sync = std::move(Sync)](
                                       const http::CallResult &Answer) mutable {
    if (Answer)
      BodyBytes += Answer->Body.size();
    Sync.Report = parseAnswer(Answer);
    UndeliveredResults.push_back(std::move(Sync));
  });
}

void WorkerLoop::run() {
  while (!Loop.stopping()) {
    SyncCall Call;
    while (Calls.pop(Call))
      sendSync(Call);
    Client.poll(PollInterval);
    while (!UndeliveredResults.empty() &&
           Results.push(UndeliveredResults.front()))
      UndeliveredResults.pop_front();
  }
}

} // namespace daisylanding::worker
