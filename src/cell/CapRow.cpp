#include "cell/CapRow.h"

#include "cell/CapShares.h"
#include "common/Json.h"

namespace daisylanding::cell {

using nlohmann::json;

namespace {

/// Grants go back and forth, so they add up to more than the cap.
constexpr int64_t MaxParts = MaxExactInteger;

json encodeStatement(const CapStatement &Statement) {
  json Document = json::object();
  auto AddParts = [&](const char *Name, const CapParts &Parts) {
    if (Parts != CapParts{})
      Document[Name] = Parts;
  };
  AddParts("wanted", Statement.Wanted);
  AddParts("needed", Statement.Needed);
  AddParts("width", Statement.Width);
  AddParts("beyond", Statement.Beyond);
  if (!Statement.Granted.empty())
    Document["granted"] = Statement.Granted;
  return Document;
}

CapParts decodeParts(const json &Source, NumberReader &Numbers) {
  CapParts Parts{};
  for (size_t I = 0; I < Parts.size(); ++I)
    Parts[I] = Numbers.whole<int64_t>(Source.at(I), 0, MaxParts);
  return Parts;
}

CapStatement decodeStatement(const json &Source, NumberReader &Numbers) {
  CapStatement Statement;
  auto PartsOf = [&](const char *Name) {
    auto Found = Source.find(Name);
    return Found == Source.end() ? CapParts{} : decodeParts(*Found, Numbers);
  };
  Statement.Wanted = PartsOf("wanted");
  Statement.Needed = PartsOf("needed");
  Statement.Width = PartsOf("width");
  Statement.Beyond = PartsOf("beyond");
  if (!Source.contains("granted"))
    return Statement;
  const json &Granted = Source.at("granted");
  for (const auto &[Name, Parts] : Granted.get_ref<const json::object_t &>())
    Statement.Granted.emplace(Name, decodeParts(Parts, Numbers));
  return Statement;
}

} // namespace

std::string encodeCapRow(const CapRow &Row) {
  json Workspaces = json::object();
  for (const auto &[Name, Statement] : Row.Workspaces)
    Workspaces[Name] = encodeStatement(Statement);
  json Document = {{"service", Row.Service},
                   {"config", Row.ConfigVersion},
                   {"workspaces", std::move(Workspaces)}};
  return Document.dump();
}

Result<CapRow> decodeCapRow(std::string_view Text) {
  try {
    json Document = parseJson(Text);
    CapRow Row;
    NumberReader Numbers;
    Row.Service = Document.at("service").get<std::string>();
    Row.ConfigVersion = Numbers.whole<uint64_t>(Document.at("config"));
    const json &Workspaces = Document.at("workspaces");
    for (const auto &[Name, Statement] :
         Workspaces.get_ref<const json::object_t &>())
      Row.Workspaces.emplace(Name, decodeStatement(Statement, Numbers));
    if (Numbers.failed())
      return Errc::Malformed;
    return Row;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
