#ifndef DAISYLANDING_TESTS_UNIT_RANDOMJSON_H
#define DAISYLANDING_TESTS_UNIT_RANDOMJSON_H

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

/// Documents that no sound writer leaves.
namespace daisylanding::test {

/// As much as a body or a row may hold.
constexpr size_t ManyLevels = 120'000;

inline std::string nestedLists(size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// Numbers at the limits of their types and of what is allowed, and others.
inline nlohmann::json randomNumber() {
  using Limits = std::numeric_limits<int64_t>;
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    return *rc::gen::element<int64_t>(Limits::min(), -1, 0, 1, 65'535, 65'536,
                                      100'000'001, int64_t{1} << 32,
                                      int64_t{1} << 53, Limits::max());
  case 1:
    return *rc::gen::element(1.5, -0.5, 1e9, 1e18, 1e30, -1e300);
  case 2:
    return std::numeric_limits<uint64_t>::max();
  default:
    return *rc::gen::arbitrary<int64_t>();
  }
}

/// Any value; lists and objects nest at most \p Levels times.
inline nlohmann::json randomValue(int Levels) {
  using nlohmann::json;
  switch (*rc::gen::inRange(0, Levels > 0 ? 7 : 5)) {
  case 0:
    return nullptr;
  case 1:
    return *rc::gen::arbitrary<bool>();
  case 2:
    return *rc::gen::element<std::string>("", "ready", "10.0.0.1:99999", "7");
  case 3:
  case 4:
    return randomNumber();
  case 5: {
    json List = json::array();
    for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
      List.push_back(randomValue(Levels - 1));
    return List;
  }
  default:
    return {{"cpu", randomValue(Levels - 1)}, {"x", randomValue(Levels - 1)}};
  }
}

/// Replaces or removes a random part of \p Document.
inline void replacePart(nlohmann::json &Document) {
  constexpr int MaxLevels = 3;
  bool IsInner = Document.is_structured() && !Document.empty();
  if (!IsInner || *rc::gen::inRange(0, 4) == 0) {
    Document = randomValue(MaxLevels);
    return;
  }
  auto Position = Document.begin();
  std::advance(Position,
               *rc::gen::inRange(0, static_cast<int>(Document.size())));
  if (*rc::gen::inRange(0, 4) == 0)
    Document.erase(Position);
  else
    replacePart(*Position);
}

/// The text of \p Sound with some of its parts, or of its bytes, changed.
inline std::string oddVersionOf(std::string_view Sound) {
  auto Document = nlohmann::json::parse(Sound);
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
    replacePart(Document);
  std::string Text = Document.dump();
  for (int I = *rc::gen::inRange(-4, 4); I > 0 && !Text.empty(); --I) {
    auto Position = *rc::gen::inRange<size_t>(0, Text.size());
    Text[Position] = *rc::gen::arbitrary<char>();
  }
  constexpr size_t MaxLevels = 5'000;
  if (*rc::gen::inRange(0, 8) == 0)
    Text.insert(*rc::gen::inRange<size_t>(0, Text.size() + 1),
                std::string(*rc::gen::inRange<size_t>(1, MaxLevels), '['));
  return Text;
}

} // namespace daisylanding::test

#endif
