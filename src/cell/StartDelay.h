#ifndef DAISYLANDING_CELL_STARTDELAY_H
#define DAISYLANDING_CELL_STARTDELAY_H

#include "common/Time.h"

/// How long the owner presently takes from the record of a start until its
/// executor has answered.
namespace daisylanding::cell {

/// A moving mean and mean deviation, as TCP estimates round-trip times.
class StartDelay {
public:
  void record(Micros Taken);
  /// Most starts are answered within this time.
  Millis bound() const;

private:
  double MeanMs = 0;
  double DeviationMs = 0;
};

} // namespace daisylanding::cell

#endif
