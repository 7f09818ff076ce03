#include "common/EventLog.h"

#include "common/Time.h"

#include <algorithm>

namespace daisylanding {

namespace {

constexpr unsigned CounterBits = 16;
constexpr int64_t MicrosPerMilli = 1'000;

} // namespace

uint64_t HybridClock::tick(int64_t WallMicros) {
  auto WallStamp = static_cast<uint64_t>(WallMicros / MicrosPerMilli)
                   << CounterBits;
  std::lock_guard<std::mutex> Lock(Mutex);
  LastStamp = std::max(LastStamp + 1, WallStamp);
  return LastStamp;
}

void HybridClock::observe(uint64_t Stamp) {
  std::lock_guard<std::mutex> Lock(Mutex);
  LastStamp = std::max(LastStamp, Stamp);
}

int64_t HybridClock::wallMicros(uint64_t Stamp) {
  return static_cast<int64_t>(Stamp >> CounterBits) * MicrosPerMilli;
}

void EventLog::add(std::string_view Kind, std::string Subject,
                   std::string Detail) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Events.push_back({.Stamp = Clock.tick(wallMicros()),
                    .Entry = Entry,
                    .Kind = std::string(Kind),
                    .Subject = std::move(Subject),
                    .Detail = std::move(Detail)});
  if (Events.size() > Capacity)
    Events.pop_front();
}

std::vector<Event> EventLog::since(uint64_t After, size_t Limit) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto First = std::partition_point(
      Events.begin(), Events.end(),
      [&](const Event &Recorded) { return Recorded.Stamp <= After; });
  size_t Count = std::min<size_t>(Limit, Events.end() - First);
  return {First, First + static_cast<std::ptrdiff_t>(Count)};
}

} // namespace daisylanding
