#ifndef DAISYLANDING_CONFIG_SECTIONREADER_H
#define DAISYLANDING_CONFIG_SECTIONREADER_H

#include "config/Fields.h"
#include "config/Settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <optional>
#include <set>

namespace daisylanding::config {

/// Parses a TOML file whose top-level tables are among \p Sections; any other
/// key is reported as a problem. False if the file is not valid TOML.
bool parseTables(std::string_view Text, const std::string &File,
                 const std::set<std::string_view> &Sections, toml::table &Root,
                 std::vector<SettingsProblem> &Problems);

/// The text of a settings file; nullopt and a problem if it cannot be read.
std::optional<std::string> readFile(const std::string &File,
                                    std::vector<SettingsProblem> &Problems);

/// Reads one table of a settings file. The destructor reports keys that were
/// not read as problems.
class SectionReader {
public:
  SectionReader(const toml::table &Root, std::string_view Name,
                const std::string &File, std::vector<SettingsProblem> &Problems)
      : Name(Name), File(File), Problems(Problems),
        Table(Root[Name].as_table()) {}

  SectionReader(const SectionReader &) = delete;
  SectionReader &operator=(const SectionReader &) = delete;

  ~SectionReader() {
    if (!Table)
      return;
    for (const auto &Item : *Table) {
      if (!KnownKeys.count(Item.first.str()))
        report(Errc::UnknownKey, Item.first.str(), &Item.second,
               fmt::format("one of {}", fmt::join(KnownKeys, ", ")));
    }
  }

  /// A required name: 1 to 128 letters, digits, '.', '_' or '-'.
  void name(std::string_view Key, std::string &Destination) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && isName(*Value))
      Destination = *Value;
    else
      report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
             "1 to 128 letters, digits, '.', '_' or '-'");
  }

  /// An optional integer from \p Min to \p Max.
  template <typename Number>
  void integer(std::string_view Key, Number &Destination, int64_t Min,
               int64_t Max) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value_exact<int64_t>();
    if (Value && *Value >= Min && *Value <= Max)
      Destination = static_cast<Number>(*Value);
    else
      report(Errc::OutOfRange, Key, Node,
             fmt::format("a whole number from {} to {}", Min, Max));
  }

  /// An optional number above 0, at most \p Max.
  void positive(std::string_view Key, double &Destination, double Max) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value<double>();
    if (Value && *Value > 0 && *Value <= Max)
      Destination = *Value;
    else
      report(Errc::OutOfRange, Key, Node,
             fmt::format("a number above 0, at most {}", Max));
  }

  /// An optional number from \p Min to \p Max.
  void number(std::string_view Key, double &Destination, double Min,
              double Max) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value<double>();
    if (Value && *Value >= Min && *Value <= Max)
      Destination = *Value;
    else
      report(Errc::OutOfRange, Key, Node,
             fmt::format("a number from {} to {}", Min, Max));
  }

  void millis(std::string_view Key, Millis &Destination, int64_t Min,
              int64_t Max) {
    int64_t Value = Destination.count();
    integer(Key, Value, Min, Max);
    Destination = Millis(Value);
  }

  /// An optional duration under either of two keys: in milliseconds, or in
  /// seconds. Whole or a fraction, from \p MinMs to \p MaxMs milliseconds;
  /// rounded down.
  void duration(std::string_view MillisKey, std::string_view SecondsKey,
                Millis &Destination, int64_t MinMs, int64_t MaxMs) {
    constexpr double MsPerSecond = 1e3;
    scaled(MillisKey, Destination, 1, MinMs, MaxMs);
    const toml::node *Node = find(SecondsKey);
    if (Node && find(MillisKey))
      report(Errc::OutOfRange, SecondsKey, Node,
             fmt::format("only one of {} and {}", MillisKey, SecondsKey));
    else
      scaled(SecondsKey, Destination, MsPerSecond, MinMs, MaxMs);
  }
  /// The same under the first key alone.
  void duration(std::string_view MillisKey, Millis &Destination, int64_t MinMs,
                int64_t MaxMs) {
    scaled(MillisKey, Destination, 1, MinMs, MaxMs);
  }

  void listenAddress(std::string_view Key, ListenAddress &Destination) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && parseListenAddress(*Value, Destination))
      return;
    report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
           "an IP address and a port from 1 to 65535, such as 127.0.0.1:8080");
  }

  /// A required IP:port, without a scheme.
  void address(std::string_view Key, std::string &Destination) {
    ListenAddress Parsed;
    listenAddress(Key, Parsed);
    if (Parsed.Port != 0)
      Destination = Parsed.text();
  }

  /// An address that may be absent or empty.
  void optionalAddress(std::string_view Key, std::string &Destination) {
    const toml::node *Node = find(Key);
    bool Empty = Node && Node->value<std::string>() == std::string();
    if (Node && !Empty)
      address(Key, Destination);
  }

  void url(std::string_view Key, std::string &Destination) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && Value->rfind("http", 0) == 0)
      Destination = *Value;
    else
      report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
             "an http or https URL");
  }

  void addresses(std::string_view Key, std::vector<std::string> &Destination) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    const toml::array *List = Node->as_array();
    if (!List) {
      report(Errc::OutOfRange, Key, Node, "a list of IP:port addresses");
      return;
    }
    for (const toml::node &Item : *List) {
      ListenAddress Parsed;
      auto Value = Item.value_exact<std::string>();
      if (Value && parseListenAddress(*Value, Parsed))
        Destination.push_back(*Value);
      else
        report(Errc::OutOfRange, Key, &Item, "IP:port, such as 127.0.0.1:8080");
    }
  }

  void choice(std::string_view Key, std::string &Destination,
              std::vector<std::string_view> Choices) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value_exact<std::string>();
    for (std::string_view Choice : Choices) {
      if (Value && *Value == Choice) {
        Destination = *Value;
        return;
      }
    }
    report(Errc::OutOfRange, Key, Node,
           fmt::format("one of {}", fmt::join(Choices, ", ")));
  }

private:
  /// A number of units of \p MsPerUnit milliseconds.
  void scaled(std::string_view Key, Millis &Destination, double MsPerUnit,
              int64_t MinMs, int64_t MaxMs) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    bool IsNumber = Node->is_integer() || Node->is_floating_point();
    auto Units = IsNumber ? Node->value<double>() : std::nullopt;
    double Ms = Units.value_or(-1) * MsPerUnit;
    // Also false if it is not a number.
    if (Ms >= static_cast<double>(MinMs) && Ms <= static_cast<double>(MaxMs))
      Destination = Millis(static_cast<int64_t>(Ms));
    else
      report(Errc::OutOfRange, Key, Node,
             fmt::format("a number from {} to {}",
                         static_cast<double>(MinMs) / MsPerUnit,
                         static_cast<double>(MaxMs) / MsPerUnit));
  }

  static bool parseListenAddress(std::string_view Text,
                                 ListenAddress &Address) {
    size_t Colon = Text.rfind(':');
    if (Colon == std::string_view::npos || Colon == 0)
      return false;
    std::string_view Digits = Text.substr(Colon + 1);
    uint32_t Port = 0;
    auto Conversion =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    constexpr uint32_t HighestPort = 65'535;
    if (Conversion.ec != std::errc() || Conversion.ptr != Digits.end() ||
        Port == 0 || Port > HighestPort)
      return false;
    Address.Host = Text.substr(0, Colon);
    Address.Port = static_cast<uint16_t>(Port);
    return true;
  }

  const toml::node *find(std::string_view Key) {
    KnownKeys.emplace(Key);
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
  std::set<std::string, std::less<>> KnownKeys;
};

} // namespace daisylanding::config

#endif
