#ifndef DAISYLANDING_REVIEW_RECORD_H
#define DAISYLANDING_REVIEW_RECORD_H

#include "common/Time.h"

#include <fmt/format.h>

#include <cstdio>
#include <mutex>
#include <string>

namespace daisylanding::review {

/// The record of one play: what was sent, answered and run, each line with the
/// seconds since the start. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path) : File(fopen(Path.c_str(), "w")) {}
  ~Record() {
    if (File)
      fclose(File);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  bool isOpen() const { return File != nullptr; }

  template <typename... Arguments>
  void line(fmt::format_string<Arguments...> Format, Arguments &&...Args) {
    std::string Text = fmt::format(Format, std::forward<Arguments>(Args)...);
    std::lock_guard<std::mutex> Lock(Mutex);
    fmt::print(File, "{:9.3f} {}\n", toSeconds(monotonicNow() - StartedAt),
               Text);
    fflush(File);
  }

private:
  std::mutex Mutex;
  FILE *File;
  TimePoint StartedAt = monotonicNow();
};

} // namespace daisylanding::review

#endif
