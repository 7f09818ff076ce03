#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int ArgCount, char **Args) {
  // RapidCheck caches allocations, which CppUTest would report as leaks; the
  // sanitizer builds check for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(ArgCount, Args);
}
