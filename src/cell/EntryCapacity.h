#ifndef DAISYLANDING_CELL_ENTRYCAPACITY_H
#define DAISYLANDING_CELL_ENTRYCAPACITY_H

#include "common/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

/// How much an entry can carry. Owning a service takes more of an entry than
/// anything else, so the larger entries acquire services first.
namespace daisylanding::cell {

/// What an entry's settings say of its instance; 0 if not known.
struct EntryCapacity {
  uint32_t MilliCores = 0;
  uint32_t LinkKbitPerSecond = 0;

  bool operator==(const EntryCapacity &) const = default;
};

/// The larger of both, by dimension.
EntryCapacity largerOf(const EntryCapacity &Left, const EntryCapacity &Right);

/// Whether \p Own is under half of \p Largest in some dimension. Instances of
/// one kind differ by less.
bool isMuchSmaller(const EntryCapacity &Own, const EntryCapacity &Largest);

/// The stored form, which also says that the entry's version knows the table of
/// ended jobs. `decodeEntryCapacity` errors: Malformed.
std::string encodeEntryCapacity(const EntryCapacity &Capacity);
Result<EntryCapacity> decodeEntryCapacity(std::string_view Text);
/// Whether the entry that wrote this form knows the table of ended jobs.
bool knowsEndedJobs(std::string_view Text);
/// Whether it reads rows of ended jobs that tell their queue.
bool knowsQueueOfEnded(std::string_view Text);
/// Whether it stores what is heard of the runs of a job that is queued again.
bool knowsQueuedRuns(std::string_view Text);

} // namespace daisylanding::cell

#endif
