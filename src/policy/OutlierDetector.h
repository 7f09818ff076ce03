#ifndef DAISYLANDING_POLICY_OUTLIERDETECTOR_H
#define DAISYLANDING_POLICY_OUTLIERDETECTOR_H

#include "common/Time.h"

#include <cstdint>
#include <vector>

namespace daisylanding::policy {

struct OutlierOptions {
  uint32_t FailuresToEject = 4; ///< In a row.
  Millis BaseEjection{2'000};   ///< Doubles with each further ejection.
  Millis MaxEjection{60'000};
  double MaxEjectedShare = 0.34; ///< Never more of the fleet than this.
};

/// Puts members aside that fail again and again, lets one probe through when
/// their time is over, and never ejects more than a share of the fleet.
class OutlierDetector {
public:
  explicit OutlierDetector(OutlierOptions Options) : Options(Options) {}

  void resize(size_t Members) { States.resize(Members); }
  /// Forgets what was known of a member; its instance was replaced.
  void reset(size_t Member);

  void succeeded(size_t Member);
  void failed(size_t Member, TimePoint Now);

  /// Whether work may go to \p Member: it is not ejected, or a probe is due.
  bool available(size_t Member, TimePoint Now) const;
  /// Tells that work was sent; takes the probe if one was due.
  void used(size_t Member, TimePoint Now);

  bool ejected(size_t Member) const { return States[Member].Ejected; }
  size_t ejectedCount() const { return Ejected; }

private:
  struct State {
    uint32_t FailuresInRow = 0;
    uint32_t Ejections = 0;
    bool Ejected = false;
    bool Probing = false;
    TimePoint Until{};
  };

  void eject(State &Each, TimePoint Now);
  Micros ejectionTime(const State &Each) const;

  OutlierOptions Options;
  std::vector<State> States;
  size_t Ejected = 0;
};

} // namespace daisylanding::policy

#endif
