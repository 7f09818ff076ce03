#ifndef DAISYLANDING_COMMON_LOG_H
#define DAISYLANDING_COMMON_LOG_H

#include <fmt/format.h>

#include <string_view>

namespace daisylanding {

enum class LogLevel { Debug, Info, Warn, Error };

/// Sets the lowest level written; may be called at any time.
void setLogLevel(LogLevel MinLevel);

/// A reader that does not keep up then costs lines, which are counted, and
/// never holds a thread up.
void makeLogNonBlocking();

/// Writes one line to standard output: time, level, event, then \p Fields,
/// which hold `key=value` pairs. The lines of a second are bounded.
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
