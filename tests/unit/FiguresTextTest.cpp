#include "operator/FiguresText.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using nlohmann::json;

// clang-format off
TEST_GROUP(TheOperatorsClient) {
  std::string describe(const json &Service) {
    auto Lines = op::describeFigures({{"services", json::array({Service})}});
    return Lines.empty() ? "" : Lines.front();
  }
};
// clang-format on

/// Guards against figures shown without their age.
TEST(TheOperatorsClient, SaysHowOldFiguresAre) {
  CHECK_EQUAL(std::string("service s: figures of 1.5 s ago; the stored jobs "
                          "were read 0.4 s before"),
              describe({{"service", "s"},
                        {"figures", "known"},
                        {"status_age_ms", 1'500},
                        {"jobs_read_ms_ago", 400}}));
}

/// Guards against figures that are missing without a reason.
TEST(TheOperatorsClient, SaysWhyFiguresAreUnknown) {
  CHECK_EQUAL(
      std::string("service s: figures and jobs unknown, its owner is "
                  "still reading the stored jobs"),
      describe(
          {{"service", "s"}, {"figures", "loading"}, {"status_age_ms", 200}}));
  CHECK_EQUAL(std::string("service s: figures and jobs unknown, its owner has "
                          "told nothing for 12.3 s"),
              describe({{"service", "s"},
                        {"figures", "outdated"},
                        {"status_age_ms", 12'300}}));
}

TEST(TheOperatorsClient, SaysNothingOfServicesOwnedElsewhere) {
  CHECK_EQUAL(std::string(),
              describe({{"service", "s"}, {"owned_here", false}}));
  CHECK_EQUAL(std::string(), describe("s"));
  CHECK(op::describeFigures(json::array()).empty());
}
