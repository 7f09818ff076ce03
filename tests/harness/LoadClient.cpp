#include "harness/LoadClient.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::harness {

namespace {

constexpr Millis PollInterval{2};
constexpr Millis HealthInterval{150};
constexpr Millis AnswerTimeout{20'000};
constexpr Millis RetryDelay{400};
constexpr Millis FinishTimeout{40'000};
constexpr uint32_t MaxTries = 4;

int64_t toMicros(TimePoint Time) { return Time.time_since_epoch().count(); }

} // namespace

LoadClient::LoadClient(Deployment &Target, uint64_t Seed)
    : Target(Target), Generator(Seed), KeyPrefix(fmt::format("s{}", Seed)) {}

void LoadClient::start() {
  HealthThread.start("balancer", [this] {
    while (!HealthThread.stopping()) {
      Target.pollHealth();
      std::this_thread::sleep_for(HealthInterval);
    }
  });
  LoadThread.start("load", [this] { run(); });
}

void LoadClient::stop() {
  Sending = false;
  LoadThread.join();
  HealthThread.join();
}

void LoadClient::run() {
  std::vector<TimePoint> NextSendTimes(Target.TestScenario.Services.size(),
                                       monotonicNow());
  TimePoint Deadline = TimePoint::max();
  while (true) {
    TimePoint Now = monotonicNow();
    if (Sending) {
      for (size_t Index = 0; Index < NextSendTimes.size(); ++Index) {
        const ServiceScenario &Service = Target.TestScenario.Services[Index];
        constexpr double MicrosPerSecond = 1e6;
        double MeanGapMicros = MicrosPerSecond / Service.RequestsPerSecond;
        while (NextSendTimes[Index] <= Now) {
          double Jitter = 0.5 + Generator.uniform();
          NextSendTimes[Index] +=
              Micros(static_cast<int64_t>(MeanGapMicros * Jitter));
          bool Repeatable = Generator.uniform() >= Service.NonRepeatableShare;
          sendRequest({fmt::format("{}-{}", KeyPrefix, NextKeyNumber++),
                       Service.Spec.Name, Repeatable, 0});
        }
      }
    } else if (Deadline == TimePoint::max()) {
      Deadline = Now + FinishTimeout;
    }
    while (!RetryQueue.empty() && RetryQueue.begin()->first <= Now) {
      PendingRequest Request = RetryQueue.begin()->second;
      RetryQueue.erase(RetryQueue.begin());
      sendRequest(std::move(Request));
    }
    Client.poll(PollInterval);
    bool Idle = Client.activeCalls() == 0 && RetryQueue.empty();
    if (!Sending && (Idle || Now > Deadline))
      return;
  }
}

void LoadClient::sendRequest(PendingRequest Request) {
  ++Request.TryCount;
  EntryProcess *Entry = Target.nextEntry();
  if (!Entry) {
    --Request.TryCount;
    RetryQueue.emplace(monotonicNow() + RetryDelay, std::move(Request));
    return;
  }
  http::Call HttpCall;
  HttpCall.Method = "POST";
  HttpCall.Url = fmt::format("http://{}/v1/services/{}/requests",
                             Entry->callerAddress(), Request.Service);
  HttpCall.Body = Request.Key;
  HttpCall.Timeout = AnswerTimeout;
  HttpCall.FreshConnection = !Request.Repeatable;
  HttpCall.Headers = {
      {"Idempotency-Key", Request.Key},
      {"Daisylanding-Repeatable", Request.Repeatable ? "yes" : "no"}};
  TryRecord Try{.Key = Request.Key,
                .Repeatable = Request.Repeatable,
                .SentAt = toMicros(monotonicNow()),
                .Entry = Entry->Name};
  std::atomic<bool> *EntryStopping = &Entry->Stopping;
  Client.start(std::move(HttpCall),
               [this, Request = std::move(Request), Try = std::move(Try),
                EntryStopping](const http::CallResult &Response) mutable {
                 Try.EntryWasStopping = EntryStopping->load();
                 handleResponse(Request, Try, Response);
               });
}

bool LoadClient::shouldRetry(const PendingRequest &Request,
                             const TryRecord &Try) const {
  return Request.TryCount < MaxTries && Try.Outcome != "done";
}

void LoadClient::handleResponse(PendingRequest Request, TryRecord Try,
                                const http::CallResult &Response) {
  Try.AnsweredAt = toMicros(monotonicNow());
  if (Response) {
    const std::string *Outcome =
        http::findHeader(Response->Headers, "Daisylanding-Outcome");
    Try.Outcome = Outcome ? *Outcome : "unlabelled";
    Try.Body = Response->Body;
    Tries.push_back(Try);
  } else if (Response.error() == Errc::Unreachable) {
    // The request was never sent, so this does not count as a try; the next
    // goes to another entry.
    --Request.TryCount;
    RetryQueue.emplace(monotonicNow() + RetryDelay, std::move(Request));
    return;
  } else {
    Try.Outcome = "none";
    Tries.push_back(Try);
  }
  if (shouldRetry(Request, Try))
    RetryQueue.emplace(monotonicNow() + RetryDelay, std::move(Request));
  else if (Try.Outcome == "none")
    ++UnansweredCount;
}

} // namespace daisylanding::harness
