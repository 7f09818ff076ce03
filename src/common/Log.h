#ifndef DAISYLANDING_COMMON_LOG_H
#define DAISYLANDING_COMMON_LOG_H

#include <fmt/format.h>

#include <cstdint>
#include <string_view>

namespace daisylanding {

enum class LogLevel { Debug, Info, Warn, Error };

/// Lines below this level are discarded. Thread-safe.
void setLogLevel(LogLevel MinLevel);

/// Makes standard output non-blocking: when its reader does not keep up, lines
/// are dropped and counted instead of blocking the logging thread.
void makeLogNonBlocking();

/// Above what a busy entry writes in normal operation.
constexpr uint64_t DefaultMaxLogLines = 3'000;
/// Sets how many lines are written per second; further ones are dropped and
/// counted. Thread-safe.
void setMaxLogLines(uint64_t LinesPerSecond);

/// Writes one line to standard output: time, level, event, then \p Fields as
/// `key=value` pairs. The number of lines per second is limited. Thread-safe.
void logLine(LogLevel Level, std::string_view Event, std::string_view Fields);

template <typename... Args>
void logInfo(std::string_view Event, fmt::format_string<Args...> Format,
             Args &&...Values) {
  logLine(LogLevel::Info, Event,
          fmt::format(Format, std::forward<Args>(Values)...));
}

template <typename... Args>
void logWarn(std::string_view Event, fmt::format_string<Args...> Format,
             Args &&...Values) {
  logLine(LogLevel::Warn, Event,
          fmt::format(Format, std::forward<Args>(Values)...));
}

template <typename... Args>
void logError(std::string_view Event, fmt::format_string<Args...> Format,
              Args &&...Values) {
  logLine(LogLevel::Error, Event,
          fmt::format(Format, std::forward<Args>(Values)...));
}

} // namespace daisylanding

#endif
