#ifndef DAISYLANDING_CELL_COMMITENTRIES_H
#define DAISYLANDING_CELL_COMMITENTRIES_H

#include <cstddef>

namespace daisylanding::cell {

/// Each commit of an owner writes the owner row last.
constexpr size_t OwnerRowEntries = 1;
/// Upper bound of the entries that a job takes in one commit, also at its end,
/// if its progress is one row.
constexpr size_t EntriesPerJob = 4;

} // namespace daisylanding::cell

#endif
