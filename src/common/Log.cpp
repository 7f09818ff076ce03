#include "common/Log.h"

#include "common/Time.h"

#include <fmt/chrono.h>

#include <atomic>

#include <unistd.h>

namespace daisylanding {

namespace {

std::atomic<LogLevel> Lowest{LogLevel::Info};

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warn:
    return "warn";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

} // namespace

void setLogLevel(LogLevel Level) { Lowest.store(Level); }

void logLine(LogLevel Level, std::string_view Event, std::string_view Fields) {
  if (Level < Lowest.load(std::memory_order_relaxed))
    return;
  constexpr int64_t MicrosPerSecond = 1'000'000;
  int64_t Wall = wallMicros();
  std::time_t Seconds = Wall / MicrosPerSecond;
  // One write a line, so that lines of several threads do not mix.
  std::string Line =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z level={} event={} {}\n",
                  fmt::gmtime(Seconds), Wall % MicrosPerSecond,
                  levelName(Level), Event, Fields);
  (void)!::write(STDOUT_FILENO, Line.data(), Line.size());
}

} // namespace daisylanding
