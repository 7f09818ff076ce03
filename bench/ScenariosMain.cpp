#include "bench/Scenarios.h"

#include <string_view>

int main(int ArgCount, char **Args) {
  using namespace daisylanding::bench;
  std::string_view Section = ArgCount > 1 ? Args[1] : "all";
  if (Section == "requests" || Section == "all")
    runRequestScenarios();
  if (Section == "tasks" || Section == "all")
    runTaskScenarios();
  if (Section == "credits" || Section == "all")
    runCreditScenarios();
  return 0;
}
