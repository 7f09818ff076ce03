#include "entry/CreditLoop.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace daisylanding::entry {

using nlohmann::json;

namespace {

constexpr size_t RingCapacity = 256;
/// Shares change with the list and the members: rows are read often after
/// such a change, and seldom when all is calm.
constexpr Millis BusyInterval{250};
constexpr Millis CalmInterval{2'000};
constexpr Millis CalmAfter{10'000};

} // namespace

std::string creditTableToText(const policy::CreditTable &Table) {
  json Endpoints = json::object();
  for (const auto &[Name, Each] : Table.Endpoints)
    Endpoints[Name] = {{"slots", Each.Slots}, {"held", Each.HeldSlots}};
  json Out = {{"list_version", Table.ListVersion},
              {"endpoints", Endpoints},
              {"wanted", Table.MissingSlots}};
  return Out.dump();
}

Result<policy::CreditTable> creditTableFromText(std::string_view Text) {
  policy::CreditTable Out;
  if (Text.empty())
    return Out;
  try {
    json Source = json::parse(Text);
    Out.ListVersion = Source.at("list_version");
    Out.MissingSlots =
        Source.at("wanted").get<std::map<std::string, uint32_t>>();
    for (const auto &Each : Source.at("endpoints").items()) {
      auto &Endpoint = Out.Endpoints[Each.key()];
      Endpoint.Slots = Each.value().at("slots");
      Endpoint.HeldSlots =
          Each.value().at("held").get<std::map<std::string, uint32_t>>();
    }
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
  return Out;
}

CreditLoop::CreditLoop(Context &Shared, Ring<CreditRow> &ToFront)
    : Writes(RingCapacity, [this] { Wake.wake(); }), Shared(Shared),
      ToFront(ToFront) {}

std::string CreditLoop::rowKey(const std::string &Service) const {
  return fmt::format("credits/{}/{}", Shared.Options.AvailabilityZone, Service);
}

Result<table::Row> settleCreditWrite(table::Table &Store,
                                     const std::string &Key,
                                     const policy::CreditTable &Next,
                                     uint64_t Version) {
  table::Mutation Put{
      .Key = Key, .Value = creditTableToText(Next), .ExpectedVersion = Version};
  auto Outcome = Store.commit({&Put, 1});
  if (Outcome && Outcome->Committed)
    return table::Row{Key, Put.Value, Outcome->Versions.front()};
  if (Outcome)
    return Outcome->Conflicts.front();
  if (Outcome.error() == Errc::BudgetExhausted)
    return Outcome.error();
  auto Current = Store.read(Key);
  if (!Current || Current->Version != Version)
    return Current;
  // Our write may still arrive. Rewriting the row as it is moves its version
  // on, and a write that expects the old one is then refused.
  table::Mutation Fence{
      .Key = Key, .Value = Current->Value, .ExpectedVersion = Version};
  auto Fenced = Store.commit({&Fence, 1});
  if (!Fenced)
    return Fenced.error();
  if (!Fenced->Committed)
    return Fenced->Conflicts.front();
  return table::Row{Key, Current->Value, Fenced->Versions.front()};
}

void CreditLoop::run() {
  auto Platform = Shared.connectPlatform();
  TimePoint NextPoll{};
  while (!Loop.stopping()) {
    CreditWrite Write;
    while (Writes.pop(Write))
      Open[Write.Service] = Write;
    settle(*Platform);
    TimePoint Now = monotonicNow();
    if (Now >= NextPoll) {
      poll(*Platform);
      NextPoll = Now + pollInterval(Now);
    }
    Wake.wait(BusyInterval);
  }
}

void CreditLoop::settle(table::Table &Store) {
  for (auto Each = Open.begin(); Each != Open.end();) {
    auto Row = settleCreditWrite(Store, rowKey(Each->first), Each->second.Next,
                                 Each->second.Version);
    if (!Row) {
      ++Each;
      continue;
    }
    ++Settled[Each->first];
    Shared.Numbers.count("credit_moves_total");
    report(Each->first, *Row);
    Each = Open.erase(Each);
  }
}

Millis CreditLoop::pollInterval(TimePoint Now) {
  auto View = Shared.Views.current();
  std::pair<uint64_t, std::set<std::string>> Current;
  Current.first = View->List.Version;
  for (const Member &Each : View->Members) {
    if (Each.Alive && !Each.Draining)
      Current.second.insert(Each.holder());
  }
  if (Shared.Draining.load())
    Current.second.erase(Shared.holder());
  if (Current != Basis) {
    Basis = std::move(Current);
    BasisSince = Now;
  }
  return Now - BasisSince > CalmAfter ? CalmInterval : BusyInterval;
}

void CreditLoop::poll(table::Table &Store) {
  auto Config = Shared.Views.current()->Config;
  if (!Config)
    return;
  for (const config::ServiceSpec &Each : Config->Services) {
    if (!Open.count(Each.Name))
      readRow(Store, Each.Name);
  }
}

void CreditLoop::readRow(table::Table &Store, const std::string &Service) {
  auto Row = Store.read(rowKey(Service));
  if (Row)
    report(Service, *Row);
}

void CreditLoop::report(const std::string &Service, const table::Row &Row) {
  auto Table = creditTableFromText(Row.Value);
  if (Table)
    (void)ToFront.push(
        {Service, std::move(*Table), Row.Version, Settled[Service]});
}

} // namespace daisylanding::entry
