#ifndef DAISYLANDING_NODE_ENTRYCONTEXT_H
#define DAISYLANDING_NODE_ENTRYCONTEXT_H

#include "cell/CellConfig.h"
#include "cell/CellOwner.h"
#include "cell/Offer.h"
#include "common/EventLog.h"
#include "common/Metrics.h"
#include "config/CellSettings.h"
#include "node/ConfigConfirmation.h"
#include "node/PendingCount.h"
#include "node/Ports.h"
#include "node/ServiceStatus.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace daisylanding::node {

/// Relay addresses of the services' owners, from the owner rows last read.
class OwnerAddresses {
public:
  void set(const std::string &Service, std::string Relay) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Relays[Service] = std::move(Relay);
  }
  /// host:port; empty when no owner is known.
  std::string relayAddress(const std::string &Service) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = Relays.find(Service);
    return It == Relays.end() ? std::string() : It->second;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::string> Relays;
};

/// What the services' owners state, from the owner rows last read.
template <typename T> class OwnerStatements {
public:
  void set(const std::string &Service, T Statement) {
    auto Shared = std::make_shared<const T>(std::move(Statement));
    std::lock_guard<std::mutex> Lock(Mutex);
    Services[Service] = std::move(Shared);
  }
  /// Never null; states nothing if no row was read.
  std::shared_ptr<const T> of(const std::string &Service) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = Services.find(Service);
    return It == Services.end() ? Unstated : It->second;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<const T>> Services;
  std::shared_ptr<const T> Unstated = std::make_shared<const T>();
};

using PendingReadings = OwnerStatements<PendingReading>;
using QueueStatements = OwnerStatements<cell::QueueStatement>;
using BacklogStatements = OwnerStatements<cell::BacklogStatement>;

/// Time of the store's last answer, its clock and its read latency, as observed
/// by all loops of the process.
class StoreMonitor {
public:
  /// Records that the store's clock read \p StoreMillis at some time between
  /// \p SentAt and \p Now.
  void recordClock(TimePoint SentAt, TimePoint Now, int64_t StoreMillis) {
    recordAnswer(Now, StoreMillis);
    std::lock_guard<std::mutex> Lock(Mutex);
    ClockReading Reading{.ClockMs = StoreMillis, .At = SentAt, .ReadAt = Now};
    if (isOutdated(MaxClock, Now) ||
        Reading.clockMs(Now) <= MaxClock.clockMs(Now))
      MaxClock = Reading;
  }
  void recordAnswer(TimePoint Now, int64_t StoreMillis) {
    std::lock_guard<std::mutex> Lock(Mutex);
    LastAnswer = std::max(LastAnswer, Now);
    ClockReading Reading{.ClockMs = StoreMillis, .At = Now, .ReadAt = Now};
    if (isOutdated(MinClock, Now) ||
        Reading.clockMs(Now) >= MinClock.clockMs(Now))
      MinClock = Reading;
  }
  /// A feed page without rows ends a wait that began before it, so it doesn't
  /// show that the store answers requests sent since.
  void recordFeedPage(TimePoint Now, const store::ChangePage &Page) {
    if (!Page.Rows.empty())
      recordAnswer(Now, Page.StoreClockMs);
  }
  TimePoint lastAnswer() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return LastAnswer;
  }
  /// Updates the moving average of read latency, which distinguishes a slow
  /// store from a lost answer.
  void recordReadTime(Micros Duration) {
    constexpr double SmoothingFactor = 0.4;
    std::lock_guard<std::mutex> Lock(Mutex);
    AverageReadMs +=
        SmoothingFactor * (toSeconds(Duration) * 1e3 - AverageReadMs);
  }
  /// Sets the age of the oldest unanswered read, so that a store that becomes
  /// slow is noticed before it answers.
  void setOpenReadAge(Micros Age) {
    std::lock_guard<std::mutex> Lock(Mutex);
    OpenReadMs = toSeconds(Age) * 1e3;
  }
  double readLatencyMs() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::max(AverageReadMs, OpenReadMs);
  }
  /// Of the answered reads alone.
  double averageReadMs() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return AverageReadMs;
  }
  /// The store's steady clock in ms, extrapolated from its newest answer. It
  /// may be later by that answer's transit.
  int64_t clockMillis(TimePoint Now) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return MinClock.clockMs(Now);
  }
  cell::StoreClock clock(TimePoint Now) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    int64_t MinMs = MinClock.clockMs(Now);
    int64_t MaxMs = MaxClock.isKnown() ? MaxClock.clockMs(Now) : MinMs;
    return {.MinMs = MinMs, .MaxMs = std::max(MinMs, MaxMs)};
  }

private:
  /// The clock read `ClockMs` at `At`, or before (a lower bound of the clock)
  /// or after it (an upper bound).
  struct ClockReading {
    int64_t ClockMs = 0;
    TimePoint At{};
    TimePoint ReadAt{};

    bool isKnown() const { return ReadAt != TimePoint{}; }
    int64_t clockMs(TimePoint Now) const {
      return ClockMs + toMillis(Now - At);
    }
  };

  /// Whether a reading is replaced also by a less exact one, as clocks may
  /// drift apart.
  static bool isOutdated(const ClockReading &Reading, TimePoint Now) {
    constexpr Millis MaxAge{10'000};
    return !Reading.isKnown() || Now > Reading.ReadAt + MaxAge;
  }

  mutable std::mutex Mutex;
  TimePoint LastAnswer{};
  double AverageReadMs = 5; ///< Moving average.
  double OpenReadMs = 0;
  ClockReading MinClock;
  ClockReading MaxClock;
};

/// State shared by all loops of one entry.
struct EntryContext {
  EntryContext(config::CellSettings Options, std::string Incarnation,
               const Ports &Platform)
      : Options(std::move(Options)), Incarnation(std::move(Incarnation)),
        Platform(Platform), Events(this->Options.Name, EventCapacity) {}

  config::CellSettings Options;
  std::string Incarnation;
  const Ports &Platform;
  cell::SharedConfig Config;
  ConfigConfirmation ConfirmedConfig;
  PendingReadings Pending;
  OwnerAddresses Owners;
  QueueStatements Statements;
  BacklogStatements Backlogs;
  cell::OfferRegistry Offers;
  StoreMonitor StoreHealth;
  ServiceStatuses OwnedServices;
  Metrics EntryMetrics;
  EventLog Events;
  std::atomic<bool> Draining{false};

  static constexpr size_t EventCapacity = 5'000;

  cell::EntryCapacity capacity() const {
    constexpr double PerThousand = 1e3;
    return {.MilliCores =
                static_cast<uint32_t>(Options.ProcessorShare * PerThousand),
            .LinkKbitPerSecond =
                static_cast<uint32_t>(Options.LinkMbitPerSecond * PerThousand)};
  }
  std::string holder() const { return Options.Name + "/" + Incarnation; }
};

} // namespace daisylanding::node

#endif
