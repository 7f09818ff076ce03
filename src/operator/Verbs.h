#ifndef DAISYLANDING_OPERATOR_VERBS_H
#define DAISYLANDING_OPERATOR_VERBS_H

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::op {

/// How an option's value is put into the JSON that is sent.
enum class OptionKind { Text, Number, Fraction, Flag };

struct VerbOption {
  std::string_view Name;      ///< On the command line, without dashes.
  std::string_view BodyField; ///< In the JSON; empty for options of the client.
  OptionKind Kind = OptionKind::Text;
  std::string_view Help;
};

/// One verb, as `class set`.
struct Verb {
  std::string_view Group;
  std::string_view Action; ///< Empty for verbs of one word.
  std::string_view
      ArgumentName; ///< What the positional word names; may be empty.
  std::string_view Help;
  std::string_view
      ChangeKind; ///< The kind of configuration change, if it is one.
  std::vector<VerbOption> Options;
};

std::span<const Verb> allVerbs();
const Verb *findVerb(std::string_view Group, std::string_view Action);

} // namespace daisylanding::op

#endif
