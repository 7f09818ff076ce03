#ifndef DAISYLANDING_NODE_ADVICELOOP_H
#define DAISYLANDING_NODE_ADVICELOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "node/EntryContext.h"

namespace daisylanding::node {

/// This entry's advice queue: one thread that calls the policy service on
/// behalf of the owners in this process and of other entries.
class AdviceLoop {
public:
  explicit AdviceLoop(EntryContext &Context);
  ~AdviceLoop() { stop(); }

  void start();
  void stop();
  /// Callable from any thread; false when the queue is full. \p Done runs on
  /// this loop's thread.
  bool enqueue(executor::AdviceCall Call, executor::AdviceDone Done);

private:
  struct QueuedCall {
    executor::AdviceCall Call;
    executor::AdviceDone Done;
  };
  void run();

  EntryContext &Context;
  http::MultiClient Client;
  SharedQueue<QueuedCall> Queue;
  Thread Loop;
};

} // namespace daisylanding::node

#endif
