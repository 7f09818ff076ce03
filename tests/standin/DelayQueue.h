#ifndef DAISYLANDING_TESTS_STANDIN_DELAYQUEUE_H
#define DAISYLANDING_TESTS_STANDIN_DELAYQUEUE_H

#include "common/Thread.h"
#include "common/Time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace daisylanding::standin {

/// Runs actions later, on one thread of its own.
class DelayQueue {
public:
  DelayQueue() {
    Loop.start("delay", [this] { run(); });
  }
  ~DelayQueue() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Loop.requestStop();
    }
    Changed.notify_all();
    Loop.join();
  }
  DelayQueue(const DelayQueue &) = delete;
  DelayQueue &operator=(const DelayQueue &) = delete;

  void after(Micros Delay, std::function<void()> Action) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Due.emplace(monotonicNow() + Delay, std::move(Action));
    }
    Changed.notify_all();
  }

private:
  void run() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (!Loop.stopping()) {
      if (Due.empty()) {
        Changed.wait(Lock);
        continue;
      }
      if (Due.begin()->first > monotonicNow()) {
        Changed.wait_until(Lock, Due.begin()->first);
        continue;
      }
      std::function<void()> Action = std::move(Due.begin()->second);
      Due.erase(Due.begin());
      Lock.unlock();
      Action();
      Lock.lock();
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::multimap<TimePoint, std::function<void()>> Due;
  Thread Loop;
};

} // namespace daisylanding::standin

#endif
