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
  TimePoint Deadline; ///< The caller is gone after this.
};

enum class AdmissionOutcome : uint8_t {
  Admitted,
  QueueFull,      ///< The bound on waiting requests is reached.
  WouldMissTarget ///< It would wait longer than its target or deadline.
};

struct AdmissionDecision {
  AdmissionOutcome Outcome = AdmissionOutcome::Admitted;
  Micros ExpectedWait{0};
  /// A queued request that has to give way: the queue is full, and its class
  /// has more than an equal part of it. It is no longer queued.
  std::optional<QueuedRequest> Evicted;
};

struct RequestQueueOptions {
  std::vector<Millis> WaitingTargets; ///< One a class.
  size_t MaxWaiting = 2'048;
};

/// The requests of one service that wait for a slot, by class. Order is by
/// slack, the time left to the class's waiting target. A class that has used
/// more than an equal share of starts yields to one below its share that is
/// about to be late, and has no claim to more than an equal part of a full
/// queue; so overload in one class stays there.
class RequestQueue {
public:
  explicit RequestQueue(const RequestQueueOptions &Options);

  /// Queues \p Request unless it would be late. \p StartsPerSecond is the
  /// rate at which the service's slots become free; 0 means unknown.
  AdmissionDecision admit(const QueuedRequest &Request, double StartsPerSecond,
                          TimePoint Now);

  /// Removes and returns the request to start now.
  std::optional<QueuedRequest> takeNext(TimePoint Now);

  /// Puts a request back that was taken but could not start.
  void putBack(const QueuedRequest &Request);

  /// Removes requests that can no longer start in time; at their deadline or
  /// when their target was missed by far.
  void
  removeExpired(TimePoint Now,
                const std::function<void(const QueuedRequest &)> &OnRemoved);

  /// Removes and returns everything, for a queue with other classes.
  std::vector<QueuedRequest> drain();
  /// Queues without an admission check; the request was admitted before.
  void enqueueAdmitted(const QueuedRequest &Request);

  size_t waiting() const { return Waiting; }
  size_t waiting(uint32_t Class) const { return Classes[Class].Queue.size(); }

private:
  struct ClassState {
    Micros Target;
    std::deque<QueuedRequest> Queue;
    double RecentStarts = 0; ///< Decays with time.

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
