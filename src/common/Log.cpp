#include "common/Log.h"

#include "common/LogLimiter.h"
#include "common/Time.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <atomic>
#include <mutex>

#include <fcntl.h>
#include <unistd.h>

namespace daisylanding {

namespace {

std::atomic<LogLevel> MinLevel{LogLevel::Info};

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

std::mutex OutputMutex;
LogLimiter Limiter(DefaultMaxLogLines);

/// Other machines' texts must neither begin a line of their own nor control a
/// terminal.
void replaceControlCharacters(std::string &Text) {
  std::replace_if(
      Text.begin(), Text.end(),
      [](char Character) {
        constexpr unsigned char Delete = 0x7f;
        auto Code = static_cast<unsigned char>(Character);
        return Code < ' ' || Code == Delete;
      },
      '?');
}

/// A single write per line, so that lines of several processes that share the
/// output do not interleave.
void writeLine(LogLevel Level, std::string_view Event,
               std::string_view Fields) {
  constexpr int64_t MicrosPerSecond = 1'000'000;
  int64_t WallTimeMicros = wallMicros();
  std::time_t Seconds = WallTimeMicros / MicrosPerSecond;
  std::string Line = fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}.{:06}Z level={} event={} {}", fmt::gmtime(Seconds),
      WallTimeMicros % MicrosPerSecond, levelName(Level), Event, Fields);
  replaceControlCharacters(Line);
  Line += '\n';
  if (::write(STDOUT_FILENO, Line.data(), Line.size()) < 0)
    Limiter.recordDropped();
}

} // namespace

void setLogLevel(LogLevel Level) { MinLevel.store(Level); }

void makeLogNonBlocking() {
  int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void setMaxLogLines(uint64_t LinesPerSecond) {
  std::lock_guard<std::mutex> Lock(OutputMutex);
  Limiter.setMaxLines(LinesPerSecond);
}

void logLine(LogLevel Level, std::string_view Event, std::string_view Fields) {
  if (Level < MinLevel.load(std::memory_order_relaxed))
    return;
  std::lock_guard<std::mutex> Lock(OutputMutex);
  uint64_t Dropped = 0;
  bool Admitted = Limiter.admit(monotonicNow(), Dropped);
  if (Dropped > 0)
    writeLine(LogLevel::Warn, "log-lines-dropped",
              fmt::format("count={}", Dropped));
  if (Admitted)
    writeLine(Level, Event, Fields);
}

} // namespace daisylanding
