#include "common/Log.h"
#include "unit/CapturedOutput.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

TEST_GROUP(ALogLine){};

/// Guards against lines that another machine forges: its texts are logged.
TEST(ALogLine, IsNotEndedByATextInIt) {
  CapturedOutput Log;
  logInfo("order-refused", "reason={}", "no\nlevel=info event=forged\x1b[2J");
  LONGS_EQUAL(1, Log.countLinesWith("reason=no?level=info event=forged?[2J"));
}
