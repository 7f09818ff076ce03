#ifndef DAISYLANDING_CELL_CONFIGCHECK_H
#define DAISYLANDING_CELL_CONFIGCHECK_H

#include "cell/CellConfig.h"

#include <cstddef>
#include <string>
#include <vector>

/// Checks a configuration before it is put in force: what an entry takes, but
/// can't mean, and what would change.
namespace daisylanding::cell {

enum class ConfigList { None, Queues, Services, Workspaces };

enum class ConfigField {
  Whole, ///< The entry itself.
  Version,
  Name,
  Host,
  PathPrefix,
  Service,
  Attempts,
  TargetLatency,
  Weight,
  Keys,
  MaxHeaderBytes,
  MaxBodyBytes
};

/// A field of a configuration. Its name depends on the document's format.
struct ConfigPlace {
  ConfigList List = ConfigList::None;
  size_t Index = 0; ///< In the list.
  ConfigField Field = ConfigField::Whole;
};

enum class FindingKind { Error, Warning };

struct ConfigFinding {
  FindingKind Kind = FindingKind::Warning;
  ConfigPlace Place;
  std::string Text; ///< Never tells a key.
};

/// Errors and warnings of a configuration by itself, in the order of its
/// entries.
std::vector<ConfigFinding> checkConfig(const CellConfig &Config);

/// The number of keys of each workspace.
std::vector<size_t> countKeys(const CellConfig &Config);

} // namespace daisylanding::cell

#endif
