#ifndef DAISYLANDING_TESTS_STANDIN_DELAYQUEUE_H
#define DAISYLANDING_TESTS_STANDIN_DELAYQUEUE_H

#include "common/Thread.h"
#include "common/Time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace daisylanding::standin {

/// Runs actions after a delay, in the order of their due times, on a thread of
/// its own.
class DelayQueue {
public:
  DelayQueue() {
    ActionThread.start("delay", [this] { runActions(); });
  }
  ~DelayQueue() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      ActionThread.requestStop();
    }
    QueueChanged.notify_all();
    ActionThread.join();
  }
  DelayQueue(const DelayQueue &) = delete;
  DelayQueue &operator=(const DelayQueue &) = delete;

  void schedule(Micros Delay, std::function<void()> Action) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      ActionsByTime.emplace(monotonicNow() + Delay, std::move(Action));
    }
    QueueChanged.notify_all();
  }

private:
  void runActions() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (!ActionThread.stopping()) {
      if (ActionsByTime.empty()) {
        QueueChanged.wait(Lock);
        continue;
      }
      Micros Delay = ActionsByTime.begin()->first - monotonicNow();
      if (Delay > Micros(0)) {
        QueueChanged.wait_for(Lock, Delay);
        continue;
      }
      std::function<void()> Action = std::move(ActionsByTime.begin()->second);
      ActionsByTime.erase(ActionsByTime.begin());
      Lock.unlock();
      Action();
      Lock.lock();
    }
  }

  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::multimap<TimePoint, std::function<void()>> ActionsByTime;
  Thread ActionThread;
};

} // namespace daisylanding::standin

#endif
