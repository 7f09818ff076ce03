#ifndef DAISYLANDING_NODE_QUEUEPLACES_H
#define DAISYLANDING_NODE_QUEUEPLACES_H

#include "cell/CellConfig.h"
#include "cell/QueueStatement.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

/// Where the jobs of a queue may be stored, while and after a configuration
/// sends it to another service. A job's id is unique within the partition of
/// one service only. No I/O.
namespace daisylanding::node {

/// The last configurations in force, the newest last.
using ConfigHistory = std::span<const std::shared_ptr<const cell::CellConfig>>;

/// A queue as an entry sees it that takes a request.
struct QueueView {
  const cell::Queue &Queue;
  uint64_t ConfigVersion = 0; ///< That names `Queue`.
  ConfigHistory History;
};

/// What has to be known of a service before a job may be stored.
enum class PlaceCheck : uint8_t {
  None,          ///< Its partition holds no job that matters.
  Search,        ///< It may hold the job.
  AwaitStatement ///< It may still store the job, by an older configuration.
};

/// Before a job of the queue is stored, for the partition of another service
/// whose owner states \p Stated.
PlaceCheck checkOtherService(const QueueView &View, const std::string &Service,
                             const cell::QueueStatement &Stated);
/// The same for the service that the queue is sent to. Its owner refuses jobs
/// of a queue that its older configuration sends elsewhere.
PlaceCheck checkOwnService(const QueueView &View,
                           const cell::QueueStatement &Stated);
/// Whether an entry may store a job of the queue by itself while the owner
/// states the configuration \p StatedVersion; 0 if none is stated.
bool mayStore(const QueueView &View, uint64_t StatedVersion);

} // namespace daisylanding::node

#endif
