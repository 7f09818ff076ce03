#ifndef DAISYLANDING_COMMON_RANDOM_H
#define DAISYLANDING_COMMON_RANDOM_H

#include <cstdint>

namespace daisylanding {

/// SplitMix64 generator; the same sequence for a seed on every machine.
class Random {
public:
  explicit Random(uint64_t Seed) : State(Seed) {}

  uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
    return Mixed ^ (Mixed >> 31);
  }

  /// A uniform integer in [0, Bound); 0 if \p Bound is 0.
  uint64_t below(uint64_t Bound) { return Bound ? next() % Bound : 0; }

  /// A uniform number in [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
  uint64_t State;
};

} // namespace daisylanding

#endif
