#include "http/Url.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

// clang-format off
TEST_GROUP(TheTargetOfAUrl) {};
TEST_GROUP(TheAddressOfAHost) {};
// clang-format on

TEST(TheTargetOfAUrl, IsItsPathAndQuery) {
  STRCMP_EQUAL("/a/b?c=/d", http::targetOfUrl("http://h:1/a/b?c=/d").c_str());
  STRCMP_EQUAL("/", http::targetOfUrl("http://h:1").c_str());
}

/// Guards against a call to another path than the root: that of the query.
TEST(TheTargetOfAUrl, HasTheRootForItsPathIfThereIsOnlyAQuery) {
  STRCMP_EQUAL("/?c=/d", http::targetOfUrl("http://h:1?c=/d").c_str());
}

TEST(TheAddressOfAHost, IsNoneIfItIsNamedOtherwise) {
  for (std::string_view Name :
       {"h", "1.2.3", "1.2.3.4.5", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536",
        "1.2.3.4:+80", "1.2.3.4:80x", "user@1.2.3.4", "[::1]:80", ""})
    CHECK_FALSE(http::addressOfHost(Name).has_value());
  CHECK_TRUE(http::addressOfHost("1.2.3.4").has_value());
  CHECK_TRUE(http::addressOfHost("1.2.3.4:80").has_value());
}
