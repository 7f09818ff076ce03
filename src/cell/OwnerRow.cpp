#include "cell/OwnerRow.h"

#include "common/Json.h"

#include <algorithm>

namespace daisylanding::cell {

using nlohmann::json;

namespace {

json encodeBacklog(const BacklogStatement &Statement) {
  json Entries = json::array();
  for (const QueueBacklog &Entry : Statement.Entries)
    Entries.push_back({{"queue", Entry.Queue},
                       {"workspace", Entry.Workspace},
                       {"wait_s", Entry.WaitSeconds}});
  return {{"at_ms", Statement.AtMs}, {"waits", std::move(Entries)}};
}

/// States nothing if it can't be read: the row holds without it.
BacklogStatement decodeBacklog(const json &Document) {
  try {
    const json &Source = Document.at("backlog");
    NumberReader Numbers;
    BacklogStatement Statement{.AtMs =
                                   Numbers.whole<int64_t>(Source.at("at_ms"))};
    for (const json &Entry : Source.at("waits"))
      Statement.Entries.push_back(
          {.Queue = Entry.at("queue").get<std::string>(),
           .Workspace = Entry.at("workspace").get<std::string>(),
           .WaitSeconds = Numbers.whole<uint32_t>(Entry.at("wait_s"))});
    bool IsReadable = !Numbers.failed() &&
                      Statement.Entries.size() <= BacklogStatement::MaxEntries;
    return IsReadable ? Statement : BacklogStatement{};
  } catch (const json::exception &) {
    return {};
  }
}

} // namespace

std::string encodeOwnerRow(const OwnerRow &Row) {
  json Document = {{"holder", Row.Holder},
                   {"relay", Row.RelayAddress},
                   {"epoch", std::max(Row.Epoch, Row.HighestToken)},
                   {"owner_epoch", Row.Epoch},
                   {"sequence", Row.Sequence},
                   {"released", Row.Released},
                   {"largest_millicores", Row.LargestEntry.MilliCores},
                   {"largest_link_kbit", Row.LargestEntry.LinkKbitPerSecond},
                   {"pending", Row.Pending.ByQueue},
                   {"pending_by", Row.Pending.CountedBy},
                   {"pending_ms", Row.Pending.AsOfMs},
                   {"silent", Row.SilentLeaseEnds}};
  if (!Row.LongLeaseEnds.empty())
    Document["long_leases"] = Row.LongLeaseEnds;
  if (Row.LeasesEndMs)
    Document["leases_end_ms"] = *Row.LeasesEndMs;
  if (Row.Queues.ConfigVersion != 0) {
    Document["config"] = Row.Queues.ConfigVersion;
    Document["moved"] = Row.Queues.MovedQueues;
    Document["moved_any"] = Row.Queues.MayHoldAny;
  }
  if (!Row.Backlog.Entries.empty())
    Document["backlog"] = encodeBacklog(Row.Backlog);
  return Document.dump();
}

namespace {

/// A time of the store's clock or a count.
template <typename T>
std::map<std::string, T> decodeNumbers(const json &Source,
                                       NumberReader &Numbers) {
  std::map<std::string, T> Decoded;
  for (const auto &[Name, Value] : Source.get_ref<const json::object_t &>())
    Decoded.emplace(Name, Numbers.whole<T>(Value));
  return Decoded;
}

} // namespace

Result<OwnerRow> decodeOwnerRow(std::string_view Text) {
  try {
    json Document = parseJson(Text);
    OwnerRow Row;
    NumberReader Numbers;
    Row.Holder = Document.at("holder").get<std::string>();
    Row.RelayAddress = Document.value("relay", std::string());
    Row.HighestToken = Numbers.whole<uint64_t>(Document.at("epoch"));
    Row.Epoch =
        Numbers.field<uint64_t>(Document, "owner_epoch", Row.HighestToken);
    Row.Sequence = Numbers.whole<uint64_t>(Document.at("sequence"));
    Row.Released = Document.at("released").get<bool>();
    Row.LargestEntry = {.MilliCores = Numbers.field<uint32_t>(
                            Document, "largest_millicores", 0),
                        .LinkKbitPerSecond = Numbers.field<uint32_t>(
                            Document, "largest_link_kbit", 0)};
    Row.Pending = {
        .ByQueue = decodeNumbers<uint64_t>(Document.at("pending"), Numbers),
        .CountedBy = Numbers.field<uint64_t>(Document, "pending_by", 0),
        .AsOfMs = Numbers.field<int64_t>(Document, "pending_ms", 0)};
    if (Document.contains("leases_end_ms"))
      Row.LeasesEndMs = Numbers.whole<int64_t>(Document.at("leases_end_ms"));
    if (Document.contains("silent"))
      Row.SilentLeaseEnds =
          decodeNumbers<int64_t>(Document.at("silent"), Numbers);
    if (Document.contains("long_leases"))
      Row.LongLeaseEnds =
          decodeNumbers<int64_t>(Document.at("long_leases"), Numbers);
    if (Document.contains("config")) {
      Row.Queues.ConfigVersion = Numbers.whole<uint64_t>(Document["config"]);
      Row.Queues.MovedQueues =
          Document.at("moved").get<std::set<std::string>>();
      Row.Queues.MayHoldAny = Document.at("moved_any").get<bool>();
    }
    if (Numbers.failed())
      return Errc::Malformed;
    if (Document.contains("backlog"))
      Row.Backlog = decodeBacklog(Document);
    return Row;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
