#ifndef DAISYLANDING_COMMON_WAKEPIPE_H
#define DAISYLANDING_COMMON_WAKEPIPE_H

#include "common/Error.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace daisylanding {

/// Wakes a loop that polls file descriptors, from any thread.
class WakePipe {
public:
  WakePipe() = default;
  WakePipe(const WakePipe &) = delete;
  WakePipe &operator=(const WakePipe &) = delete;
  ~WakePipe() {
    for (int Descriptor : Descriptors) {
      if (Descriptor >= 0)
        ::close(Descriptor);
    }
  }

  /// Must be called before other threads use the pipe. Errors: SystemFailure.
  std::error_code open() {
    if (::pipe2(Descriptors, O_NONBLOCK | O_CLOEXEC) != 0)
      return Errc::SystemFailure;
    return {};
  }
  void wake() const {
    // If the pipe is full, a wake-up is already pending.
    char Byte = 0;
    if (Descriptors[1] >= 0)
      (void)!::write(Descriptors[1], &Byte, 1);
  }
  /// Reads the wake-ups so far, so that the next one can be polled for.
  void drain() const {
    std::array<char, 64> Bytes;
    while (::read(readEnd(), Bytes.data(), Bytes.size()) > 0) {
    }
  }
  /// The descriptor to poll; it yields at least one byte after a wake-up.
  int readEnd() const { return Descriptors[0]; }

private:
  int Descriptors[2] = {-1, -1};
};

} // namespace daisylanding

#endif
