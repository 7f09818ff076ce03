#ifndef DAISYLANDING_OPERATOR_VERBS_H
#define DAISYLANDING_OPERATOR_VERBS_H

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::op {

/// How the value of an option is converted to JSON.
enum class OptionKind { Text, Number, Fraction, Flag };

struct VerbOption {
  std::string_view Name; ///< On the command line, without dashes.
  /// Field of the request body; empty for options that only the client uses.
  std::string_view BodyField;
  OptionKind Kind = OptionKind::Text;
  std::string_view Help;
};

/// A verb of the operator client, for example `class set`.
struct Verb {
  std::string_view Group;
  std::string_view Action; ///< Empty for verbs of one word, such as `status`.
  /// Placeholder of the positional argument; empty if the verb has none.
  std::string_view ArgumentName;
  std::string_view Help;
  /// Kind of the configuration change; empty for all other verbs.
  std::string_view ChangeKind;
  std::vector<VerbOption> Options;
};

std::span<const Verb> allVerbs();
const Verb *findVerb(std::string_view Group, std::string_view Action);

} // namespace daisylanding::op

#endif
