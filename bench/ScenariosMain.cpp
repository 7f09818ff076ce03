#include "bench/Scenarios.h"

#include <string_view>

int main(int Count, char **Words) {
  using namespace daisylanding::bench;
  std::string_view Which = Count > 1 ? Words[1] : "all";
  if (Which == "requests" || Which == "all")
    runRequestScenarios();
  if (Which == "tasks" || Which == "all")
    runTaskScenarios();
  if (Which == "credits" || Which == "all")
    runCreditScenarios();
  return 0;
}
