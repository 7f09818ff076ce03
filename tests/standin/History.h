#ifndef DAISYLANDING_TESTS_STANDIN_HISTORY_H
#define DAISYLANDING_TESTS_STANDIN_HISTORY_H

#include "common/Time.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace daisylanding::standin {

/// An append-only log of events, the ground truth that the checker reads. Each
/// line starts with the machine's monotonic time in microseconds.
class History {
public:
  explicit History(const std::string &File)
      : Stream(File.empty() ? nullptr : std::fopen(File.c_str(), "ae")) {}
  ~History() {
    if (Stream)
      std::fclose(Stream);
  }
  History(const History &) = delete;
  History &operator=(const History &) = delete;

  void append(const std::string &Event) {
    if (!Stream)
      return;
    std::lock_guard<std::mutex> Lock(Mutex);
    std::fprintf(
        Stream, "%lld %s\n",
        static_cast<long long>(monotonicNow().time_since_epoch().count()),
        Event.c_str());
    std::fflush(Stream);
  }

private:
  std::mutex Mutex;
  std::FILE *Stream;
};

} // namespace daisylanding::standin

#endif
