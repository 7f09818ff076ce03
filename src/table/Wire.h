#ifndef DAISYLANDING_TABLE_WIRE_H
#define DAISYLANDING_TABLE_WIRE_H

#include "table/InstanceList.h"
#include "table/Table.h"

#include <nlohmann/json_fwd.hpp>

/// Conversion to and from the JSON of the platform service. The ...FromJson
/// functions throw the JSON library's exceptions on malformed input.
namespace daisylanding::table {

nlohmann::json mutationsToJson(std::span<const Mutation> Mutations);
std::vector<Mutation> mutationsFromJson(const nlohmann::json &List);

nlohmann::json rowsToJson(std::span<const Row> Rows);
std::vector<Row> rowsFromJson(const nlohmann::json &List);

nlohmann::json commitResultToJson(const CommitResult &Commit);
CommitResult commitResultFromJson(const nlohmann::json &Object);

nlohmann::json instancesToJson(const InstanceSnapshot &Snapshot);
InstanceSnapshot instancesFromJson(const nlohmann::json &Object);

nlohmann::json resourcesToJson(const Resources &Amounts);
Resources resourcesFromJson(const nlohmann::json &Object);

} // namespace daisylanding::table

#endif
