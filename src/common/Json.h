#ifndef DAISYLANDING_COMMON_JSON_H
#define DAISYLANDING_COMMON_JSON_H

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

/// Reads JSON that may come from any writer.
namespace daisylanding {

/// Copies, comparisons and output of a document recurse as deep as it nests.
constexpr size_t MaxJsonDepth = 64;
/// JSON writers may keep numbers as doubles, which are exact up to this.
constexpr int64_t MaxExactInteger = int64_t{1} << 53;

/// The document; a discarded value if \p Text is malformed, or nests deeper
/// than `MaxJsonDepth`.
nlohmann::json parseJson(std::string_view Text);

/// The whole number, 7.0 included, that \p Value states; nullopt if it states
/// none, or one that is not from \p Min to \p Max.
std::optional<int64_t> wholeNumber(const nlohmann::json &Value, int64_t Min,
                                   int64_t Max);
/// The same for any number.
std::optional<double> realNumber(const nlohmann::json &Value, double Min,
                                 double Max);

/// Reads the numbers of a document, and remembers whether all were within their
/// bounds.
class NumberReader {
public:
  template <std::integral T>
  T whole(const nlohmann::json &Value, T Min = 0, T Max = maxOf<T>()) {
    auto Number = wholeNumber(Value, static_cast<int64_t>(Min),
                              static_cast<int64_t>(Max));
    Failed |= !Number;
    return Number ? static_cast<T>(*Number) : Min;
  }
  /// The field of \p Object; \p Default if it is absent.
  template <std::integral T>
  T field(const nlohmann::json &Object, const char *Key, T Default, T Min = 0,
          T Max = maxOf<T>()) {
    auto It = Object.find(Key);
    return It == Object.end() ? Default : whole<T>(*It, Min, Max);
  }
  /// The same for any number.
  double realField(const nlohmann::json &Object, const char *Key,
                   double Default, double Min, double Max);

  bool failed() const { return Failed; }

private:
  template <std::integral T> static constexpr T maxOf() {
    return std::in_range<int64_t>(std::numeric_limits<T>::max())
               ? std::numeric_limits<T>::max()
               : static_cast<T>(std::numeric_limits<int64_t>::max());
  }

  bool Failed = false;
};

} // namespace daisylanding

#endif
