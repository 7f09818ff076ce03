#ifndef DAISYLANDING_NODE_ENTRYCAPACITIES_H
#define DAISYLANDING_NODE_ENTRYCAPACITIES_H

#include "cell/EntryCapacity.h"
#include "store/RowStore.h"

namespace daisylanding::node {

/// The largest capacity, by dimension, among the rows of the table
/// `cell::CapacityTable`. Malformed rows are logged and left out.
cell::EntryCapacity largestEntryIn(const store::RowPage &Page);
/// Whether each entry in that table runs a version that knows the table of
/// ended jobs.
bool allKnowEndedJobs(const store::RowPage &Page);
/// Whether each reads rows of ended jobs that tell their queue.
bool allKnowQueueOfEnded(const store::RowPage &Page);
/// The same, and stores what is heard of the runs of a job that is queued
/// again.
bool allKnowQueuedRuns(const store::RowPage &Page);

} // namespace daisylanding::node

#endif
