#ifndef DAISYLANDING_NODE_ADVICEDESK_H
#define DAISYLANDING_NODE_ADVICEDESK_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "node/Shared.h"

namespace daisylanding::node {

/// This entry's own line to the policy service: one thread that makes the
/// calls of its owners and of other entries.
class AdviceDesk {
public:
  explicit AdviceDesk(Shared &Common);
  ~AdviceDesk() { stop(); }

  void start();
  void stop();
  /// Callable from any thread; false when too many calls wait. \p Done runs
  /// on the desk's thread.
  bool ask(executor::AdviceCall Call, executor::AdviceDone Done);

private:
  struct Question {
    executor::AdviceCall Call;
    executor::AdviceDone Done;
  };
  void run();

  Shared &Common;
  http::MultiClient Calls;
  SharedQueue<Question> Questions;
  Thread Loop;
};

} // namespace daisylanding::node

#endif
