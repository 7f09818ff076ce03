#ifndef DAISYLANDING_BENCH_STATISTICS_H
#define DAISYLANDING_BENCH_STATISTICS_H

#include <algorithm>
#include <vector>

namespace daisylanding::bench {

/// The \p Fraction quantile (0 to 1) of \p Values; 0 if there are none.
inline double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto LastIndex = static_cast<double>(Values.size() - 1);
  return Values[static_cast<size_t>(Fraction * LastIndex)];
}

} // namespace daisylanding::bench

#endif
