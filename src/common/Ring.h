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

/// Wakes the one thread that drains a set of rings.
class Waker {
public:
  void wake() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Signaled = true;
    }
    Condition.notify_one();
  }

  /// Returns when woken or after \p Longest.
  void wait(Micros Longest) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Condition.wait_for(Lock, Longest, [this] { return Signaled; });
    Signaled = false;
  }

private:
  std::mutex Mutex;
  std::condition_variable Condition;
  bool Signaled = false;
};

/// A bounded ring between one producing and one consuming thread. A full
/// ring refuses the item; it never waits.
template <typename T> class Ring {
public:
  Ring(size_t Capacity, std::function<void()> Wake)
      : Queue(Capacity), Wake(std::move(Wake)) {}

  [[nodiscard]] bool push(T Item) {
    if (!Queue.push(std::move(Item)))
      return false;
    Wake();
    return true;
  }

  bool pop(T &Item) { return Queue.pop(Item); }

private:
  boost::lockfree::spsc_queue<T> Queue;
  std::function<void()> Wake;
};

/// A bounded queue that several threads fill and one thread drains, for cold
/// paths where the producers are not known beforehand. Its reader may end
/// before its writers: once closed it refuses items and wakes nobody.
template <typename T> class Mailbox {
public:
  Mailbox(size_t Capacity, std::function<void()> Wake)
      : Capacity(Capacity), Wake(std::move(Wake)) {}

  [[nodiscard]] bool push(T Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Closed || Items.size() >= Capacity)
      return false;
    Items.push_back(std::move(Item));
    Wake(); // Under the lock: the reader can't go away meanwhile.
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
  std::function<void()> Wake;
  bool Closed = false;
};

/// The same where the reader lives as long as its writers.
template <typename T> using SharedQueue = Mailbox<T>;

} // namespace daisylanding

#endif
