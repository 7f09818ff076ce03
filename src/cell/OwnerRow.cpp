#include "cell/OwnerRow.h"

#include "common/Json.h"

namespace daisylanding::cell {

using nlohmann::json;

std::string encodeOwnerRow(const OwnerRow &Row) {
  json Document = {{"holder", Row.Holder},
                   {"relay", Row.RelayAddress},
                   {"epoch", Row.Epoch},
                   {"sequence", Row.Sequence},
                   {"released", Row.Released},
                   {"largest_millicores", Row.LargestEntry.MilliCores},
                   {"largest_link_kbit", Row.LargestEntry.LinkKbitPerSecond},
                   {"pending", Row.PendingJobs},
                   {"silent", Row.SilentLeaseEnds}};
  if (Row.LeasesEndMs)
    Document["leases_end_ms"] = *Row.LeasesEndMs;
  return Document.dump();
}

Result<OwnerRow> decodeOwnerRow(std::string_view Text) {
  try {
    json Document = parseJson(Text);
    OwnerRow Row;
    Row.Holder = Document.at("holder").get<std::string>();
    Row.RelayAddress = Document.value("relay", std::string());
    Row.Epoch = Document.at("epoch").get<uint64_t>();
    Row.Sequence = Document.at("sequence").get<uint64_t>();
    Row.Released = Document.at("released").get<bool>();
    Row.LargestEntry = {.MilliCores = Document.value("largest_millicores", 0U),
                        .LinkKbitPerSecond =
                            Document.value("largest_link_kbit", 0U)};
    Row.PendingJobs =
        Document.at("pending").get<std::map<std::string, uint64_t>>();
    if (Document.contains("leases_end_ms"))
      Row.LeasesEndMs = Document.at("leases_end_ms").get<int64_t>();
    Row.SilentLeaseEnds =
        Document.value("silent", std::map<std::string, int64_t>());
    return Row;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
