#ifndef DAISYLANDING_CELL_COMMITENTRIES_H
#define DAISYLANDING_CELL_COMMITENTRIES_H

#include <cstddef>

namespace daisylanding::cell {

/// Each commit of an owner writes the owner row last.
constexpr size_t OwnerRowEntries = 1;

} // namespace daisylanding::cell

#endif
