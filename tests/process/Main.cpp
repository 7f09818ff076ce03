#include <csignal>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

/// Stops the deployment that the tests share.
void stopSharedDeployment();

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  int FailureCount =
      CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
  stopSharedDeployment();
  return FailureCount;
}
