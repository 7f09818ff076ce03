#ifndef DAISYLANDING_COMMON_THREAD_H
#define DAISYLANDING_COMMON_THREAD_H

#include <pthread.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace daisylanding {

/// A named thread that runs one loop until asked to stop.
class Thread {
public:
  Thread() = default;
  Thread(const Thread &) = delete;
  Thread &operator=(const Thread &) = delete;
  ~Thread() { join(); }

  /// Runs \p Loop, which must return soon after stopping() becomes true.
  /// \p Name has at most 15 characters, the limit of pthread_setname_np.
  void start(const std::string &Name, std::function<void()> Loop) {
    Handle = std::thread([Name, Loop = std::move(Loop)] {
      pthread_setname_np(pthread_self(), Name.c_str());
      Loop();
    });
  }

  bool stopping() const {
    return StopRequested.load(std::memory_order_acquire);
  }
  void requestStop() { StopRequested.store(true, std::memory_order_release); }
  void join() {
    requestStop();
    if (Handle.joinable())
      Handle.join();
  }

private:
  std::thread Handle;
  std::atomic<bool> StopRequested{false};
};

} // namespace daisylanding

#endif
