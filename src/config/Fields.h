#ifndef DAISYLANDING_CONFIG_FIELDS_H
#define DAISYLANDING_CONFIG_FIELDS_H

#include "config/ClusterConfig.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::config {

/// Reads typed fields from a JSON object and records the first problem. After
/// a problem, reads return defaults.
class FieldReader {
public:
  FieldReader(const nlohmann::json &Object, InputProblem &Problem);

  /// A required name: 1 to 128 letters, digits, '.', '_' or '-'.
  std::string name(std::string_view Key);
  /// A name that may be absent or empty.
  std::string optionalName(std::string_view Key);
  /// Optional text of any characters.
  std::string text(std::string_view Key, size_t MaxBytes);
  int64_t integer(std::string_view Key, int64_t Default, int64_t Min,
                  int64_t Max);
  /// A number from 0 to 1.
  double fraction(std::string_view Key, double Default);
  /// The index of the value among \p Choices; 0 if absent and not required.
  size_t choice(std::string_view Key, std::vector<std::string_view> Choices,
                bool Required = false);
  /// Reports any key that was not read.
  void finish();
  bool failed() const { return !Problem.Field.empty(); }

private:
  const nlohmann::json *find(std::string_view Key);
  void report(Errc Code, std::string_view Key, std::string Allowed);

  const nlohmann::json &Object;
  InputProblem &Problem;
  std::set<std::string, std::less<>> KnownKeys;
};

table::Resources readResources(FieldReader &Fields, int64_t MaxAmount);

/// Whether \p Text is a name as `FieldReader::name` accepts it.
bool isName(std::string_view Text);

} // namespace daisylanding::config

#endif
