#ifndef DAISYLANDING_COMMON_EVENTLOG_H
#define DAISYLANDING_COMMON_EVENTLOG_H

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding {

/// A hybrid logical clock: wall time in milliseconds in the upper 48 bits, a
/// counter in the lower 16. Stamps of causally ordered events, linked by
/// messages or table rows, compare in that order in every process. Thread-safe.
class HybridClock {
public:
  /// Returns a new stamp, above all stamps issued or observed.
  uint64_t tick(int64_t WallMicros);
  /// Advances the clock to a stamp received in a message or row.
  void observe(uint64_t Stamp);
  static int64_t wallMicros(uint64_t Stamp);

private:
  std::mutex Mutex;
  uint64_t LastStamp = 0;
};

/// One event of the timeline.
struct Event {
  uint64_t Stamp = 0;
  std::string Entry;
  std::string Kind;    ///< For example `shard-taken` or `task-started`.
  std::string Subject; ///< The shard, job, request or instance concerned.
  std::string Detail;  ///< key=value pairs.
};

/// The latest events of this process, at most `Capacity`. Thread-safe.
class EventLog {
public:
  EventLog(std::string Entry, size_t Capacity)
      : Entry(std::move(Entry)), Capacity(Capacity) {}

  void add(std::string_view Kind, std::string Subject, std::string Detail = {});
  /// Events with a stamp above \p After, oldest first, at most \p Limit.
  std::vector<Event> since(uint64_t After, size_t Limit) const;
  HybridClock &clock() { return Clock; }

private:
  std::string Entry;
  size_t Capacity;
  HybridClock Clock;
  mutable std::mutex Mutex;
  std::deque<Event> Events;
};

} // namespace daisylanding

#endif
