#ifndef DAISYLANDING_CELL_RATIOHISTOGRAM_H
#define DAISYLANDING_CELL_RATIOHISTOGRAM_H

#include <array>
#include <cstddef>

/// A histogram of ratios on a logarithmic scale, in which new samples slowly
/// replace old ones.
namespace daisylanding::cell {

class RatioHistogram {
public:
  void add(double Ratio);
  /// Of the samples that still count.
  double sampleWeight() const { return Total; }
  /// The ratio below which \p Share of the samples lie; 1 without samples.
  double quantile(double Share) const { return quantileAbove(0, Share); }
  /// The same among the samples above \p Floor; 0 if there are none.
  double quantileAbove(double Floor, double Share) const;

private:
  static constexpr size_t BucketsPerDoubling = 8;
  /// The largest ratio is two to this power, the smallest its inverse.
  static constexpr size_t Doublings = 6;
  static constexpr size_t BucketCount = 2 * Doublings * BucketsPerDoubling;

  static size_t bucketOf(double Ratio);
  /// In the middle of the bucket.
  static double ratioOf(size_t Bucket);
  void halve();

  std::array<float, BucketCount> Weights{};
  double Total = 0;
};

} // namespace daisylanding::cell

#endif
