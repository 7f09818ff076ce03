#ifndef DAISYLANDING_NODE_CONFIGDOCUMENT_H
#define DAISYLANDING_NODE_CONFIGDOCUMENT_H

#include "cell/CellConfig.h"

#include <nlohmann/json_fwd.hpp>

/// The configuration in force as the operator API shows it: without keys, but
/// with their number.
namespace daisylanding::node {

nlohmann::json configToJson(const cell::CellConfig &Config);

/// Errors: Malformed. Entries of an earlier version leave fields out.
Result<cell::CellConfig> configFromJson(const nlohmann::json &Document);

/// The fields of a workspace by itself, and its number of keys.
nlohmann::json workspaceToJson(const cell::Workspace &Workspace,
                               size_t KeyCount);

} // namespace daisylanding::node

#endif
