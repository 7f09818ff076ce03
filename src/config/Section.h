#ifndef DAISYLANDING_CONFIG_SECTION_H
#define DAISYLANDING_CONFIG_SECTION_H

#include "config/Fields.h"
#include "config/Settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <optional>
#include <set>

namespace daisylanding::config {

/// Parses a whole file whose tables have these names. False when it can't be
/// read; tables of other names are problems, too.
bool parseRoot(std::string_view Text, const std::string &File,
               const std::set<std::string_view> &Sections, toml::table &Root,
               std::vector<SettingsProblem> &Problems);

/// The text of a settings file; a file that can't be read is a problem.
std::optional<std::string> readFile(const std::string &File,
                                    std::vector<SettingsProblem> &Problems);

/// Reads one table of the file; keys that nobody asked for are problems.
class Section {
public:
  Section(const toml::table &Root, std::string_view Name,
          const std::string &File, std::vector<SettingsProblem> &Problems)
      : Name(Name), File(File), Problems(Problems),
        Table(Root[Name].as_table()) {}

  Section(const Section &) = delete;
  Section &operator=(const Section &) = delete;

  ~Section() {
    if (!Table)
      return;
    for (const auto &Each : *Table) {
      if (!Known.count(Each.first.str()))
        report(Errc::UnknownKey, Each.first.str(), &Each.second,
               fmt::format("one of {}", fmt::join(Known, ", ")));
    }
  }

  void name(std::string_view Key, std::string &Out) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && isName(*Value))
      Out = *Value;
    else
      report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
             "1 to 128 letters, digits, '.', '_' or '-'");
  }

  template <typename Number>
  void integer(std::string_view Key, Number &Out, int64_t Lowest,
               int64_t Highest) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value_exact<int64_t>();
    if (Value && *Value >= Lowest && *Value <= Highest)
      Out = static_cast<Number>(*Value);
    else
      report(Errc::OutOfRange, Key, Node,
             fmt::format("a whole number from {} to {}", Lowest, Highest));
  }

  void millis(std::string_view Key, Millis &Out, int64_t Lowest,
              int64_t Highest) {
    int64_t Value = Out.count();
    integer(Key, Value, Lowest, Highest);
    Out = Millis(Value);
  }

  void listen(std::string_view Key, Listen &Out) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && parseListen(*Value, Out))
      return;
    report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
           "an IP number and a port from 1 to 65535, as 127.0.0.1:8080");
  }

  /// host:port, without a scheme.
  void address(std::string_view Key, std::string &Out) {
    Listen Parsed;
    listen(Key, Parsed);
    if (Parsed.Port != 0)
      Out = Parsed.text();
  }

  /// The same, but may be absent or empty.
  void optionalAddress(std::string_view Key, std::string &Out) {
    const toml::node *Node = find(Key);
    bool Empty = Node && Node->value<std::string>() == std::string();
    if (Node && !Empty)
      address(Key, Out);
  }

  void url(std::string_view Key, std::string &Out) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && Value->rfind("http", 0) == 0)
      Out = *Value;
    else
      report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
             "an http or https URL");
  }

  void addresses(std::string_view Key, std::vector<std::string> &Out) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    const toml::array *List = Node->as_array();
    if (!List) {
      report(Errc::OutOfRange, Key, Node, "a list of IP:port");
      return;
    }
    for (const toml::node &Each : *List) {
      Listen Parsed;
      auto Value = Each.value_exact<std::string>();
      if (Value && parseListen(*Value, Parsed))
        Out.push_back(*Value);
      else
        report(Errc::OutOfRange, Key, &Each, "IP:port, as 127.0.0.1:8080");
    }
  }

  void choice(std::string_view Key, std::string &Out,
              std::vector<std::string_view> Choices) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value_exact<std::string>();
    for (std::string_view Each : Choices) {
      if (Value && *Value == Each) {
        Out = *Value;
        return;
      }
    }
    report(Errc::OutOfRange, Key, Node,
           fmt::format("one of {}", fmt::join(Choices, ", ")));
  }

private:
  static bool parseListen(std::string_view Text, Listen &Out) {
    size_t Colon = Text.rfind(':');
    if (Colon == std::string_view::npos || Colon == 0)
      return false;
    std::string_view Digits = Text.substr(Colon + 1);
    uint32_t Port = 0;
    auto Parsed =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    constexpr uint32_t HighestPort = 65'535;
    if (Parsed.ec != std::errc() || Parsed.ptr != Digits.end() || Port == 0 ||
        Port > HighestPort)
      return false;
    Out.Address = Text.substr(0, Colon);
    Out.Port = static_cast<uint16_t>(Port);
    return true;
  }

  const toml::node *find(std::string_view Key) {
    Known.emplace(Key);
    return Table ? Table->get(Key) : nullptr;
  }

  void report(Errc Code, std::string_view Key, const toml::node *Node,
              std::string Allowed) {
    uint32_t Line = 0;
    if (Node)
      Line = Node->source().begin.line;
    else if (Table)
      Line = Table->source().begin.line;
    Problems.push_back({.Code = Code,
                        .File = File,
                        .Line = Line,
                        .Key = fmt::format("{}.{}", Name, Key),
                        .Allowed = std::move(Allowed)});
  }

  std::string Name;
  const std::string &File;
  std::vector<SettingsProblem> &Problems;
  const toml::table *Table;
  std::set<std::string, std::less<>> Known;
};

} // namespace daisylanding::config

#endif
