#ifndef DAISYLANDING_COMMON_WAKEPIPE_H
#define DAISYLANDING_COMMON_WAKEPIPE_H

#include "common/Error.h"

#include <fcntl.h>
#include <unistd.h>

namespace daisylanding {

/// Wakes a loop that waits on descriptors, from any thread.
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

  /// Before other threads use it. Errors: SystemFailure.
  std::error_code open() {
    if (::pipe2(Descriptors, O_NONBLOCK | O_CLOEXEC) != 0)
      return Errc::SystemFailure;
    return {};
  }
  void wake() const {
    // A full pipe means that a wake-up is under way already.
    char Byte = 0;
    if (Descriptors[1] >= 0)
      (void)!::write(Descriptors[1], &Byte, 1);
  }
  /// What the loop reads; one byte or more for each time it was woken.
  int readEnd() const { return Descriptors[0]; }

private:
  int Descriptors[2] = {-1, -1};
};

} // namespace daisylanding

#endif
