#include "harness/LoadClient.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::harness {

namespace {

constexpr Millis PollInterval{2};
constexpr Millis HealthInterval{150};
constexpr Millis AnswerTimeout{20'000};
constexpr Millis RetryDelay{400};
constexpr Millis FinishLimit{40'000};
constexpr uint32_t MaxTries = 4;

int64_t micros(TimePoint At) { return At.time_since_epoch().count(); }

} // namespace

LoadClient::LoadClient(Deployment &Target, uint64_t Seed)
    : Target(Target), Generator(Seed), Prefix(fmt::format("s{}", Seed)) {}

void LoadClient::start() {
  Balancer.start("balancer", [this] {
    while (!Balancer.stopping()) {
      Target.pollHealth();
      std::this_thread::sleep_for(HealthInterval);
    }
  });
  Loop.start("load", [this] { run(); });
}

void LoadClient::stop() {
  Sending = false;
  Loop.join();
  Balancer.join();
}

void LoadClient::run() {
  std::vector<TimePoint> Next(Target.What.Services.size(), monotonicNow());
  TimePoint GiveUp = TimePoint::max();
  while (true) {
    TimePoint Now = monotonicNow();
    if (Sending) {
      for (size_t I = 0; I < Next.size(); ++I) {
        const ServiceScenario &Service = Target.What.Services[I];
        constexpr double MicrosPerSecond = 1e6;
        double Gap = MicrosPerSecond / Service.RequestsPerSecond;
        while (Next[I] <= Now) {
          double Spread = 0.5 + Generator.uniform();
          Next[I] += Micros(static_cast<int64_t>(Gap * Spread));
          bool Repeatable = Generator.uniform() >= Service.NonRepeatable;
          send({fmt::format("{}-{}", Prefix, NextKey++), Service.Spec.Name,
                Repeatable, 0});
        }
      }
    } else if (GiveUp == TimePoint::max()) {
      GiveUp = Now + FinishLimit;
    }
    while (!Later.empty() && Later.begin()->first <= Now) {
      Pending What = Later.begin()->second;
      Later.erase(Later.begin());
      send(std::move(What));
    }
    Client.poll(PollInterval);
    bool Idle = Client.activeCalls() == 0 && Later.empty();
    if (!Sending && (Idle || Now > GiveUp))
      return;
  }
}

void LoadClient::send(Pending What) {
  ++What.Tries;
  EntryProcess *Entry = Target.nextEntry();
  if (!Entry) {
    --What.Tries;
    Later.emplace(monotonicNow() + RetryDelay, std::move(What));
    return;
  }
  http::Call Request;
  Request.Method = "POST";
  Request.Url = fmt::format("http://{}/v1/services/{}/requests",
                            Entry->callers(), What.Service);
  Request.Body = What.Key;
  Request.Timeout = AnswerTimeout;
  Request.FreshConnection = !What.Repeatable;
  Request.Headers = {
      {"Idempotency-Key", What.Key},
      {"Daisylanding-Repeatable", What.Repeatable ? "yes" : "no"}};
  Told Mine{.Key = What.Key,
            .Repeatable = What.Repeatable,
            .AskedAt = micros(monotonicNow()),
            .Entry = Entry->Name};
  std::atomic<bool> *Stopping = &Entry->Stopping;
  Client.start(std::move(Request),
               [this, What = std::move(What), Mine = std::move(Mine),
                Stopping](const http::CallResult &Answer) mutable {
                 Mine.EntryWasStopping = Stopping->load();
                 onAnswer(What, Mine, Answer);
               });
}

bool LoadClient::tryAgain(const Pending &What, const Told &Entry) const {
  return What.Tries < MaxTries && Entry.Outcome != "done";
}

void LoadClient::onAnswer(Pending What, Told Entry,
                          const http::CallResult &Answer) {
  Entry.ToldAt = micros(monotonicNow());
  if (Answer) {
    const std::string *Outcome =
        http::findHeader(Answer->Headers, "Daisylanding-Outcome");
    Entry.Outcome = Outcome ? *Outcome : "unlabelled";
    Entry.Body = Answer->Body;
    Answers.push_back(Entry);
  } else if (Answer.error() == Errc::Unreachable) {
    // Never sent: the balancer gives it to another entry.
    --What.Tries;
    Later.emplace(monotonicNow() + RetryDelay, std::move(What));
    return;
  } else {
    Entry.Outcome = "none";
    Answers.push_back(Entry);
  }
  if (tryAgain(What, Entry))
    Later.emplace(monotonicNow() + RetryDelay, std::move(What));
  else if (Entry.Outcome == "none")
    ++Unanswered;
}

} // namespace daisylanding::harness
