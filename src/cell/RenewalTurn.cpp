#include "cell/RenewalTurn.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

/// Executors with runs go before idle ones for this long, and those whose runs
/// should have ended before the other ones with runs.
constexpr Millis IdleDelay{1'000};
constexpr Millis EndAdvance{300};

/// Whether half of the lease that a run needs is over.
bool isHalfOver(const DueRenewal &Renewal, const LeaseOptions &Options,
                TimePoint Now) {
  return Renewal.HasRuns && !Renewal.IsFirst &&
         Now >= Renewal.SentAt + Options.LeaseDuration / 2;
}

size_t renewalLimit(const std::vector<DueRenewal> &Due,
                    const LeaseOptions &Options, Micros SinceLastTurn,
                    TimePoint Now) {
  size_t Later = 0; // After the first one of this owner.
  size_t HalfOver = 0;
  for (const DueRenewal &Renewal : Due) {
    Later += Renewal.IsFirst ? 0 : 1;
    HalfOver += isHalfOver(Renewal, Options, Now) ? 1 : 0;
  }
  // From a renewal's latest answer until half of the lease is over.
  Millis TimeLeft = Options.LeaseDuration / 2 - Options.BusyRenewalWait;
  double Share = toSeconds(SinceLastTurn) / toSeconds(TimeLeft);
  auto ForTime = static_cast<size_t>(
      std::ceil(std::min(Share, 1.0) * static_cast<double>(Later)));
  return std::max({MinRenewalLimit, ForTime, HalfOver});
}

} // namespace

bool keepMostUrgent(std::vector<DueRenewal> &Due, const LeaseOptions &Options,
                    Micros SinceLastTurn, TimePoint Now) {
  if (Due.size() <= MinRenewalLimit)
    return false;
  size_t Limit = renewalLimit(Due, Options, SinceLastTurn, Now);
  if (Due.size() <= Limit)
    return false;
  auto RankOf = [&](const DueRenewal &Renewal) {
    if (isHalfOver(Renewal, Options, Now))
      return TimePoint::min();
    TimePoint Rank = Renewal.SentAt;
    if (!Renewal.HasRuns)
      Rank += IdleDelay;
    if (Renewal.EndsRuns)
      Rank -= EndAdvance;
    return Rank;
  };
  auto End = Due.begin() + static_cast<ptrdiff_t>(Limit);
  std::nth_element(Due.begin(), End, Due.end(),
                   [&](const DueRenewal &Left, const DueRenewal &Right) {
                     return RankOf(Left) < RankOf(Right);
                   });
  Due.erase(End, Due.end());
  return true;
}

} // namespace daisylanding::cell
