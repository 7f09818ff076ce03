#ifndef DAISYLANDING_POLICY_OUTLIERDETECTOR_H
#define DAISYLANDING_POLICY_OUTLIERDETECTOR_H

#include "common/Time.h"

#include <cstdint>
#include <vector>

namespace daisylanding::policy {

struct OutlierOptions {
  uint32_t FailuresToEject = 4; ///< Consecutive failures.
  Millis BaseEjection{2'000};   ///< Doubles with each further ejection.
  Millis MaxEjection{60'000};
  double MaxEjectedShare = 0.34; ///< Largest ejected part of all members.
};

/// Ejects members that fail repeatedly, admits one probe after the ejection
/// time, and never ejects more than a share of the members.
class OutlierDetector {
public:
  explicit OutlierDetector(OutlierOptions Options) : Options(Options) {}

  void resize(size_t MemberCount) { Members.resize(MemberCount); }
  /// Clears the state of a member whose instance was replaced.
  void reset(size_t Member);

  void recordSuccess(size_t Member);
  void recordFailure(size_t Member, TimePoint Now);

  /// Whether \p Member may get work: it is not ejected, or a probe is due.
  bool isAvailable(size_t Member, TimePoint Now) const;
  /// Records that work was sent. For an ejected member it is the probe.
  void recordUse(size_t Member, TimePoint Now);

  bool isEjected(size_t Member) const { return Members[Member].Ejected; }
  size_t ejectedCount() const { return EjectedCount; }

private:
  struct MemberState {
    uint32_t ConsecutiveFailures = 0;
    uint32_t Ejections = 0;
    bool Ejected = false;
    bool Probing = false;
    TimePoint RetryAt{};
  };

  void eject(MemberState &State, TimePoint Now);
  Micros ejectionTime(const MemberState &State) const;

  OutlierOptions Options;
  std::vector<MemberState> Members;
  size_t EjectedCount = 0;
};

} // namespace daisylanding::policy

#endif
