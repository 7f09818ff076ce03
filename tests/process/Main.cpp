#include <csignal>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

/// Ends the deployment that the tests share.
void stopSharedDeployment();

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  int Failures = CommandLineTestRunner::RunAllTests(Count, Words);
  stopSharedDeployment();
  return Failures;
}
