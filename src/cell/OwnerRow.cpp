#include "cell/OwnerRow.h"

#include <nlohmann/json.hpp>

namespace daisylanding::cell {

using nlohmann::json;

std::string encodeOwner(const OwnerRow &Row) {
  json Out = {{"holder", Row.Holder},     {"relay", Row.Relay},
              {"epoch", Row.Epoch},       {"sequence", Row.Sequence},
              {"released", Row.Released}, {"pending", Row.Pending},
              {"unmet", Row.Unmet}};
  return Out.dump();
}

Result<OwnerRow> decodeOwner(std::string_view Text) {
  try {
    json Source = json::parse(Text);
    OwnerRow Out;
    Out.Holder = Source.at("holder").get<std::string>();
    Out.Relay = Source.value("relay", std::string());
    Out.Epoch = Source.at("epoch").get<uint64_t>();
    Out.Sequence = Source.at("sequence").get<uint64_t>();
    Out.Released = Source.at("released").get<bool>();
    Out.Pending = Source.at("pending").get<std::map<std::string, uint64_t>>();
    Out.Unmet = Source.value("unmet", std::map<std::string, int64_t>());
    return Out;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
