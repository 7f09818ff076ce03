#include "entry/CreditLoop.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace daisylanding::entry {

using nlohmann::json;

namespace {

constexpr size_t RingCapacity = 256;
/// Shares change with the instance list and the members: rows are polled more
/// often until these have been unchanged for `StableAfter`.
constexpr Millis ChangePollInterval{250};
constexpr Millis StablePollInterval{2'000};
constexpr Millis StableAfter{10'000};

} // namespace

std::string creditTableToText(const policy::CreditTable &Table) {
  json Endpoints = json::object();
  for (const auto &[Name, Endpoint] : Table.Endpoints)
    Endpoints[Name] = {{"slots", Endpoint.Slots}, {"held", Endpoint.HeldSlots}};
  json Document = {{"list_version", Table.ListVersion},
                   {"endpoints", Endpoints},
                   {"wanted", Table.MissingSlots}};
  return Document.dump();
}

Result<policy::CreditTable> creditTableFromText(std::string_view Text) {
  policy::CreditTable Credits;
  if (Text.empty())
    return Credits;
  try {
    json Document = json::parse(Text);
    Credits.ListVersion = Document.at("list_version");
    Credits.MissingSlots =
        Document.at("wanted").get<std::map<std::string, uint32_t>>();
    for (const auto &Item : Document.at("endpoints").items()) {
      auto &Endpoint = Credits.Endpoints[Item.key()];
      Endpoint.Slots = Item.value().at("slots");
      Endpoint.HeldSlots =
          Item.value().at("held").get<std::map<std::string, uint32_t>>();
    }
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
  return Credits;
}

CreditLoop::CreditLoop(EntryContext &Context, Ring<CreditRow> &Rows)
    : Writes(RingCapacity, [this] { Wake.wake(); }), Context(Context),
      Rows(Rows) {}

std::string CreditLoop::rowKey(const std::string &Service) const {
  return fmt::format("credits/{}/{}", Context.Options.AvailabilityZone,
                     Service);
}

Result<table::Row> writeCreditTable(table::Table &Store, const std::string &Key,
                                    const policy::CreditTable &NewTable,
                                    uint64_t Version) {
  table::Mutation Write{.Key = Key,
                        .Value = creditTableToText(NewTable),
                        .ExpectedVersion = Version};
  auto Outcome = Store.commit({&Write, 1});
  if (Outcome && Outcome->Committed)
    return table::Row{Key, Write.Value, Outcome->Versions.front()};
  if (Outcome)
    return Outcome->Conflicts.front();
  if (Outcome.error() == Errc::BudgetExhausted)
    return Outcome.error();
  auto Current = Store.read(Key);
  if (!Current || Current->Version != Version)
    return Current;
  // The write may still arrive. Rewriting the row unchanged raises its version,
  // so that a write that expects the old version conflicts.
  table::Mutation Fence{
      .Key = Key, .Value = Current->Value, .ExpectedVersion = Version};
  auto FenceOutcome = Store.commit({&Fence, 1});
  if (!FenceOutcome)
    return FenceOutcome.error();
  if (!FenceOutcome->Committed)
    return FenceOutcome->Conflicts.front();
  return table::Row{Key, Current->Value, FenceOutcome->Versions.front()};
}

void CreditLoop::run() {
  auto Platform = Context.connectPlatform();
  TimePoint NextPoll{};
  while (!Loop.stopping()) {
    CreditWrite Write;
    while (Writes.pop(Write))
      OpenWrites[Write.Service] = Write;
    resolveWrites(*Platform);
    TimePoint Now = monotonicNow();
    if (Now >= NextPoll) {
      readRows(*Platform);
      NextPoll = Now + pollInterval(Now);
    }
    Wake.wait(ChangePollInterval);
  }
}

void CreditLoop::resolveWrites(table::Table &Store) {
  for (auto Entry = OpenWrites.begin(); Entry != OpenWrites.end();) {
    auto Row = writeCreditTable(Store, rowKey(Entry->first),
                                Entry->second.NewTable, Entry->second.Version);
    if (!Row) {
      ++Entry;
      continue;
    }
    ++ResolvedWriteCounts[Entry->first];
    Context.ProcessMetrics.count("credit_moves_total");
    publishRow(Entry->first, *Row);
    Entry = OpenWrites.erase(Entry);
  }
}

Millis CreditLoop::pollInterval(TimePoint Now) {
  auto View = Context.Views.current();
  std::pair<uint64_t, std::set<std::string>> Inputs;
  Inputs.first = View->List.Version;
  for (const Member &Entry : View->Members) {
    if (Entry.Alive && !Entry.Draining)
      Inputs.second.insert(Entry.holderName());
  }
  if (Context.Draining.load())
    Inputs.second.erase(Context.holderName());
  if (Inputs != ShareInputs) {
    ShareInputs = std::move(Inputs);
    ShareInputsSince = Now;
  }
  return Now - ShareInputsSince > StableAfter ? StablePollInterval
                                              : ChangePollInterval;
}

void CreditLoop::readRows(table::Table &Store) {
  auto Config = Context.Views.current()->Config;
  if (!Config)
    return;
  for (const config::ServiceSpec &Service : Config->Services) {
    if (!OpenWrites.count(Service.Name))
      readRow(Store, Service.Name);
  }
}

void CreditLoop::readRow(table::Table &Store, const std::string &Service) {
  auto Row = Store.read(rowKey(Service));
  if (Row)
    publishRow(Service, *Row);
}

void CreditLoop::publishRow(const std::string &Service, const table::Row &Row) {
  auto Table = creditTableFromText(Row.Value);
  if (Table)
    (void)Rows.push({Service, std::move(*Table), Row.Version,
                     ResolvedWriteCounts[Service]});
}

} // namespace daisylanding::entry
