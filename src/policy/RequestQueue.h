#ifndef DAISYLANDING_POLICY_REQUESTQUEUE_H
#define DAISYLANDING_POLICY_REQUESTQUEUE_H

#include "common/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace daisylanding::policy {

struct QueuedRequest {
  uint64_t Id = 0;
  uint32_t Class = 0; ///< Index into the queue's classes.
  TimePoint Arrived;
  TimePoint Deadline; ///< The caller waits no longer.
};

enum class AdmissionOutcome : uint8_t {
  Admitted,
  QueueFull,      ///< MaxWaiting requests are queued.
  WouldMissTarget ///< Expected wait exceeds the target or the deadline.
};

struct AdmissionDecision {
  AdmissionOutcome Outcome = AdmissionOutcome::Admitted;
  Micros ExpectedWait{0};
  /// Request removed from the full queue to make room, the newest of the class
  /// with the most requests in it.
  std::optional<QueuedRequest> Evicted;
};

struct RequestQueueOptions {
  std::vector<Millis> WaitingTargets; ///< One for each class.
  size_t MaxWaiting = 2'048;
};

/// Requests of one service that wait for a slot, by class. They start in the
/// order of slack, the time left to the waiting target of their class. A class
/// with more than an equal share of recent starts yields to a class below its
/// share that is close to its target, and may not occupy more than an equal
/// part of a full queue, so overload of one class does not affect the others.
class RequestQueue {
public:
  explicit RequestQueue(const RequestQueueOptions &Options);

  /// Queues \p Request unless it would start too late. \p StartsPerSecond is
  /// the rate at which slots of the service become free; 0 means unknown.
  AdmissionDecision admit(const QueuedRequest &Request, double StartsPerSecond,
                          TimePoint Now);

  /// Removes and returns the request to start next, if there is one.
  std::optional<QueuedRequest> takeNext(TimePoint Now);

  /// Returns a request to the front of its class after it could not be started.
  void putBack(const QueuedRequest &Request);

  /// Removes requests whose deadline has passed or that have waited for a
  /// multiple of their waiting target, and calls \p OnRemoved for each.
  void
  removeExpired(TimePoint Now,
                const std::function<void(const QueuedRequest &)> &OnRemoved);

  /// Removes and returns all requests, by arrival, so that they can be queued
  /// again under other classes.
  std::vector<QueuedRequest> drain();
  /// Queues a request that was admitted earlier, without an admission check.
  void enqueueAdmitted(const QueuedRequest &Request);

  size_t waiting() const { return Waiting; }
  size_t waiting(uint32_t Class) const { return Classes[Class].Queue.size(); }

private:
  struct ClassState {
    Micros Target;
    std::deque<QueuedRequest> Queue;
    double RecentStarts = 0; ///< Decays exponentially.

    TimePoint dueAt() const { return Queue.front().Arrived + Target; }
  };

  size_t countAhead(const QueuedRequest &Request) const;
  size_t countActiveClasses() const;
  double totalRecentStarts() const;
  Micros expectedWait(const QueuedRequest &Request,
                      double StartsPerSecond) const;
  std::optional<QueuedRequest> evictFor(uint32_t Class);
  void decayRecentStarts(TimePoint Now);
  bool isOverShare(const ClassState &Class) const;
  ClassState *pickClass(TimePoint Now);

  std::vector<ClassState> Classes;
  size_t MaxWaiting;
  size_t Waiting = 0;
  TimePoint LastDecay{};
};

} // namespace daisylanding::policy

#endif
