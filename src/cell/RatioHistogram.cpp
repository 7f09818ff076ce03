#include "cell/RatioHistogram.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

void RatioHistogram::add(double Ratio) {
  /// Twice as many as show a share of one in a hundred.
  constexpr double MaxWeight = 400;
  Weights[bucketOf(Ratio)] += 1;
  Total += 1;
  if (Total >= MaxWeight)
    halve();
}

void RatioHistogram::halve() {
  Total = 0;
  for (float &Weight : Weights) {
    Weight /= 2;
    Total += Weight;
  }
}

size_t RatioHistogram::bucketOf(double Ratio) {
  constexpr double MaxLog = Doublings;
  double Log = std::log2(std::max(Ratio, std::exp2(-MaxLog)));
  auto Bucket = static_cast<size_t>((Log + MaxLog) * BucketsPerDoubling);
  return std::min(Bucket, BucketCount - 1);
}

double RatioHistogram::ratioOf(size_t Bucket) {
  double Middle = static_cast<double>(Bucket) + 0.5;
  return std::exp2(Middle / BucketsPerDoubling - Doublings);
}

double RatioHistogram::quantileAbove(double Floor, double Share) const {
  size_t First = Floor > 0 ? bucketOf(Floor) : 0;
  if (Floor > ratioOf(First))
    ++First;
  double Above = 0;
  for (size_t I = First; I < BucketCount; ++I)
    Above += Weights[I];
  if (Above <= 0)
    return Floor > 0 ? 0 : 1;
  double Wanted = Share * Above;
  double Sum = 0;
  size_t Last = First;
  for (size_t I = First; I < BucketCount; ++I) {
    if (Weights[I] <= 0)
      continue;
    Last = I;
    Sum += Weights[I];
    if (Sum >= Wanted)
      break;
  }
  return ratioOf(Last);
}

} // namespace daisylanding::cell
