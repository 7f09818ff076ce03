#ifndef DAISYLANDING_COMMON_RING_H
#define DAISYLANDING_COMMON_RING_H

#include "common/Time.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace daisylanding {

/// Wakes the single thread that drains a set of rings. A wake-up before wait()
/// is not lost.
class Waker {
public:
  void wake() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Woken = true;
    }
    Condition.notify_one();
  }

  /// Blocks until woken, at most for \p MaxWait.
  void wait(Micros MaxWait) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Condition.wait_for(Lock, MaxWait, [this] { return Woken; });
    Woken = false;
  }

private:
  std::mutex Mutex;
  std::condition_variable Condition;
  bool Woken = false;
};

/// A bounded, lock-free ring buffer with a single producer and a single
/// consumer. push() returns false when the ring is full; it never blocks.
template <typename T> class Ring {
public:
  Ring(size_t Capacity, std::function<void()> WakeReader)
      : Queue(Capacity), WakeReader(std::move(WakeReader)) {}

  [[nodiscard]] bool push(T Item) {
    if (!Queue.push(std::move(Item)))
      return false;
    WakeReader();
    return true;
  }

  bool pop(T &Item) { return Queue.pop(Item); }

private:
  boost::lockfree::spsc_queue<T> Queue;
  std::function<void()> WakeReader;
};

/// A bounded queue with several producers and a single consumer, for infrequent
/// items whose producers are not known in advance. The reader may end before
/// the writers: once closed, the queue refuses items and does not wake the
/// reader.
template <typename T> class MpscQueue {
public:
  MpscQueue(size_t Capacity, std::function<void()> WakeReader)
      : Capacity(Capacity), WakeReader(std::move(WakeReader)) {}

  [[nodiscard]] bool push(T Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Closed || Items.size() >= Capacity)
      return false;
    Items.push_back(std::move(Item));
    WakeReader(); // Under the lock, so the reader cannot be destroyed.
    return true;
  }

  bool pop(T &Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Items.empty())
      return false;
    Item = std::move(Items.front());
    Items.pop_front();
    return true;
  }

  void close() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Closed = true;
  }

private:
  std::mutex Mutex;
  std::deque<T> Items;
  size_t Capacity;
  std::function<void()> WakeReader;
  bool Closed = false;
};

/// An MpscQueue that is never closed, as its reader outlives its writers.
template <typename T> using SharedQueue = MpscQueue<T>;

} // namespace daisylanding

#endif
