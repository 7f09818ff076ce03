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

enum class Admission : uint8_t {
  Admitted,
  QueueFull,      ///< The bound on waiting requests is reached.
  WouldMissTarget ///< It would wait longer than its target or deadline.
};

struct AdmissionAnswer {
  Admission Verdict = Admission::Admitted;
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
  AdmissionAnswer admit(const QueuedRequest &Request, double StartsPerSecond,
                        TimePoint Now);

  /// Removes and returns the request to start now.
  std::optional<QueuedRequest> next(TimePoint Now);

  /// Puts a request back that was taken but could not start.
  void putBack(const QueuedRequest &Request);

  /// Removes requests that can no longer start in time; at their deadline or
  /// when their target was missed by far.
  void expire(TimePoint Now,
              const std::function<void(const QueuedRequest &)> &GivenUp);

  /// Removes and returns everything, for a queue with other classes.
  std::vector<QueuedRequest> drain();
  /// Queues without an admission check; the request was admitted before.
  void restore(const QueuedRequest &Request);

  size_t waiting() const { return Waiting; }
  size_t waiting(uint32_t Class) const { return Classes[Class].Queue.size(); }

private:
  struct ClassState {
    Micros Target;
    std::deque<QueuedRequest> Queue;
    double RecentStarts = 0; ///< Decays with time.

    TimePoint due() const { return Queue.front().Arrived + Target; }
  };

  size_t aheadOf(const QueuedRequest &Request) const;
  size_t activeClasses() const;
  double recentStarts() const;
  Micros expectedWait(const QueuedRequest &Request,
                      double StartsPerSecond) const;
  std::optional<QueuedRequest> makeRoom(uint32_t For);
  void decay(TimePoint Now);
  bool overShare(const ClassState &Each) const;
  ClassState *pick(TimePoint Now);

  std::vector<ClassState> Classes;
  size_t MaxWaiting;
  size_t Waiting = 0;
  TimePoint LastDecay{};
};

} // namespace daisylanding::policy

#endif
