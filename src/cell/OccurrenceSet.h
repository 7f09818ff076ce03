#ifndef DAISYLANDING_CELL_OCCURRENCESET_H
#define DAISYLANDING_CELL_OCCURRENCESET_H

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>

namespace daisylanding::cell {

/// Numbers of occurrences, kept as ranges: a job may have a hundred thousand,
/// which are done nearly in order.
class OccurrenceSet {
public:
  OccurrenceSet() = default;
  OccurrenceSet(std::initializer_list<uint32_t> Numbers) {
    for (uint32_t Number : Numbers)
      insert(Number);
  }

  void insert(uint32_t Number) { insertRange(Number, Number); }
  /// Adds all numbers from \p First to \p Last, which is not less.
  void insertRange(uint32_t First, uint32_t Last);
  size_t count(uint32_t Number) const;
  size_t size() const { return Size; }
  /// The last number of each range by its first. Ranges don't touch.
  const std::map<uint32_t, uint32_t> &ranges() const { return Ranges; }

  bool operator==(const OccurrenceSet &) const = default;

private:
  std::map<uint32_t, uint32_t> Ranges;
  size_t Size = 0;
};

} // namespace daisylanding::cell

#endif
