#ifndef DAISYLANDING_CELL_OTHERSERVICES_H
#define DAISYLANDING_CELL_OTHERSERVICES_H

#include "cell/CellConfig.h"

namespace daisylanding::cell {

/// What an owner knows of the partitions of the other services. A job's id is
/// unique within one partition only.
class OtherServices {
public:
  virtual ~OtherServices() = default;
  /// Whether a job of the queue may be stored there, or still be stored, by
  /// this configuration or an earlier one.
  virtual bool mayHold(const Queue &JobQueue, const CellConfig &Config) = 0;
};

} // namespace daisylanding::cell

#endif
