#include "config/CellSettings.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::config;

// clang-format off
TEST_GROUP(SettingsWithBounds) {
  std::vector<SettingsProblem> Problems;

  Result<CellSettings> read(const std::string &Entry, const std::string &Bounds) {
    return parseCellSettings(
        fmt::format("[entry]\nname = \"e\"\nzone = \"z\"\n{}\n"
                    "[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n"
                    "relay = \"127.0.0.1:3\"\noperators = \"127.0.0.1:4\"\n"
                    "[services]\nstore = \"127.0.0.1:5\"\n[bounds]\n{}\n", Entry, Bounds),
        "f.toml", Problems);
  }
  size_t requestBytes(const std::string &Instance) {
    auto Settings = read("[instance]\n" + Instance, "");
    CHECK_TRUE(static_cast<bool>(Settings));
    return Settings->CallerBudget.MaxRequestBytes;
  }
};
// clang-format on

/// Guards against an instance with little memory that callers run out of it.
TEST(SettingsWithBounds, LimitCallersByTheMemoryOfTheInstance) {
  constexpr size_t OneMb = 1'048'576;
  LONGS_EQUAL(32 * OneMb, requestBytes(""));
  LONGS_EQUAL(12 * OneMb, requestBytes("memory_mb = 120"));
  LONGS_EQUAL(32 * OneMb, requestBytes("memory_mb = 512"));
}

/// Guards against an entry that refuses its settings, since a bound in seconds
/// is a fraction.
TEST(SettingsWithBounds, TakeFractions) {
  auto Settings =
      read("drain_limit_s = 7.5", "drain_ms = 2000.5\ncancel_ms = 2999.9\n"
                                  "max_lease_ms = 9000.0\n"
                                  "status_kept_s = 0.25");
  CHECK_TRUE(static_cast<bool>(Settings));
  CHECK(Settings->DrainLimit == Millis(7'500));
  CHECK(Settings->MaxDrainDelay == Millis(2'000));
  CHECK(Settings->MaxCancelDelay == Millis(2'999));
  CHECK(Settings->MaxLease == Millis(9'000));
  CHECK(Settings->StatusRetention == Millis(250));
}

TEST(SettingsWithBounds, TakeWholeNumbersOfEitherUnit) {
  auto Settings = read("drain_limit_s = 6", "status_kept_ms = 90000");
  CHECK_TRUE(static_cast<bool>(Settings));
  CHECK(Settings->DrainLimit == Millis(6'000));
  CHECK(Settings->StatusRetention == Millis(90'000));
}

TEST(SettingsWithBounds, AreCheckedInEitherUnit) {
  CHECK_FALSE(static_cast<bool>(read("drain_limit_s = 61",
                                     "status_kept_s = nan\ndrain_ms = true\n"
                                     "max_lease_ms = \"9000\"")));
  LONGS_EQUAL(4, Problems.size());
  STRCMP_EQUAL("entry.drain_limit_s", Problems[0].Key.c_str());
  STRCMP_EQUAL("a number from 0.5 to 60", Problems[0].Allowed.c_str());
}

TEST(SettingsWithBounds, AreNotGivenInBothUnits) {
  CHECK_FALSE(
      static_cast<bool>(read("drain_limit_s = 6\ndrain_limit_ms = 6000", "")));
  LONGS_EQUAL(1, Problems.size());
  STRCMP_EQUAL("entry.drain_limit_s", Problems[0].Key.c_str());
}

TEST(SettingsWithBounds, TrustKeysForGoodUnlessTheyTellForHowLong) {
  CHECK(read("", "")->KeyConfirmation == Millis(0));
  CHECK(read("", "key_confirmation_ms = 5000")->KeyConfirmation ==
        Millis(5'000));
}

TEST(SettingsWithBounds, TellWhenAConfigurationIsInForce) {
  CHECK(read("", "")->MaxConfigDelay == Millis(2'000));
  CHECK(read("", "config_apply_ms = 3000")->MaxConfigDelay == Millis(3'000));
}

/// Guards against an entry that refuses requests between two confirmations.
TEST(SettingsWithBounds, LeaveAConfigurationTheTimeToBeConfirmed) {
  CHECK_TRUE(static_cast<bool>(read("", "config_apply_ms = 1600")));
  CHECK_FALSE(static_cast<bool>(read("", "config_apply_ms = 1599")));
  STRCMP_EQUAL("bounds.config_apply_ms", Problems[0].Key.c_str());
}

TEST(SettingsWithBounds, TakeASpreadFactor) {
  auto Settings = read("", "spread_factor = 1.5");
  CHECK_TRUE(static_cast<bool>(Settings));
  DOUBLES_EQUAL(1.5, Settings->SpreadFactor, 0);
}

TEST(SettingsWithBounds, NeedNoSpreadFactor) {
  DOUBLES_EQUAL(1, read("", "")->SpreadFactor, 0);
}

TEST(SettingsWithBounds, TakeNoSpreadFactorByWhichFarPlacesAreFaster) {
  CHECK_FALSE(static_cast<bool>(read("", "spread_factor = 0.5")));
  STRCMP_EQUAL("bounds.spread_factor", Problems[0].Key.c_str());
}
