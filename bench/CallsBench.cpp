#include "http/Client.h"
#include "http/Server.h"
#include "standin/DelayQueue.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <vector>

/// The calls of an owner to its executors, without the owner: a renewal waits
/// at each executor, and one executor after the other gets a burst of starts.
/// How many connections are opened, and what the starts wait for them.
namespace daisylanding::bench {

namespace {

constexpr uint16_t Port = 7'990;
constexpr int Executors = 792;
constexpr int StartsPerSecond = 780;
constexpr Millis RunTime{12'000};
constexpr Millis RenewalWait{1'000};
constexpr long KeptConnections = 2'048; ///< Half of 4,096 descriptors.
constexpr const char *RenewalPath = "/renewal";

/// Answers starts after a while, as over a link, and renewals when their wait
/// is over.
class Executor final : public http::Handler {
public:
  explicit Executor(Micros AnswerTime) : AnswerTime(AnswerTime) {}

  void handle(http::Request Incoming, http::Responder Respond) override {
    uint64_t Id = Incoming.ConnectionId;
    LastConnection = std::max(LastConnection.load(), Id);
    bool IsRenewal = Incoming.Target == RenewalPath;
    Micros Delay = IsRenewal ? Micros(RenewalWait) : AnswerTime;
    Answers.schedule(Delay, [Respond = std::move(Respond)] {
      Respond({.Status = http::StatusOk, .Body = "{}"});
    });
  }
  uint64_t connections() const { return LastConnection.load(); }

private:
  Micros AnswerTime;
  std::atomic<uint64_t> LastConnection{0};
  standin::DelayQueue Answers;
};

class Owner {
public:
  void renew(int Index) {
    ++Calls;
    Client.start(callTo(Index, RenewalPath),
                 [this, Index](const http::CallResult &) { renew(Index); });
  }

  void startRun(int Index) {
    ++Calls;
    TimePoint StartedAt = monotonicNow();
    Client.start(callTo(Index, "/start"),
                 [this, StartedAt](const http::CallResult &Result) {
                   Failures += Result ? 0 : 1;
                   Latencies.push_back(monotonicNow() - StartedAt);
                 });
  }

  void poll() { Client.poll(Millis(1)); }

  double latencyMs(double Quantile) {
    std::sort(Latencies.begin(), Latencies.end());
    auto Last = static_cast<double>(Latencies.size() - 1);
    return static_cast<double>(
               Latencies[static_cast<size_t>(Quantile * Last)].count()) /
           1e3;
  }

  size_t Calls = 0;
  size_t Failures = 0;

private:
  static http::Call callTo(int Index, const char *Path) {
    constexpr int HostsPerNet = 250;
    http::Call Request;
    Request.Method = "POST";
    Request.Url = fmt::format("http://127.0.{}.{}:{}{}", Index / HostsPerNet,
                              Index % HostsPerNet + 1, Port, Path);
    return Request;
  }

  std::vector<Micros> Latencies;
  http::MultiClient Client{
      {.MaxConnectionsPerHost = 32, .MaxIdleConnections = KeptConnections}};
};

/// Arguments: the starts of a burst; the time of an answer in us.
void benchmarkBursts(benchmark::State &State) {
  auto BurstSize = static_cast<int>(State.range(0));
  Executor Served{Micros(State.range(1))};
  http::Server Server(
      {.Address = "0.0.0.0", .Port = Port, .MaxConnections = 16'384}, Served);
  if (Server.start())
    State.SkipWithError("no port");
  for (auto Iteration : State) {
    Owner Caller;
    for (int Index = 0; Index < Executors; ++Index)
      Caller.renew(Index);
    uint64_t Before = 0;
    size_t CallsBefore = 0;
    size_t Bursts = 0;
    TimePoint StartedAt = monotonicNow();
    TimePoint WarmAt = StartedAt + RunTime / 2;
    while (monotonicNow() < StartedAt + RunTime) {
      Caller.poll();
      TimePoint Now = monotonicNow();
      if (Before == 0 && Now > WarmAt) {
        Before = Served.connections();
        CallsBefore = Caller.Calls;
      }
      double Seconds = std::chrono::duration<double>(Now - StartedAt).count();
      while (static_cast<double>(Bursts) <
             Seconds * StartsPerSecond / BurstSize) {
        int Index = static_cast<int>(Bursts++ % Executors);
        for (int I = 0; I < BurstSize; ++I)
          Caller.startRun(Index);
      }
    }
    State.counters["opened_per_call"] =
        static_cast<double>(Served.connections() - Before) /
        static_cast<double>(Caller.Calls - CallsBefore);
    State.counters["start_ms_p50"] = Caller.latencyMs(0.5);
    State.counters["start_ms_p99"] = Caller.latencyMs(0.99);
    State.counters["failures"] = static_cast<double>(Caller.Failures);
  }
}

BENCHMARK(benchmarkBursts)
    ->ArgNames({"burst", "answer_us"})
    ->ArgsProduct({{1, 4, 8}, {200, 5'000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace daisylanding::bench

BENCHMARK_MAIN();
