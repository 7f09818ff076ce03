#ifndef DAISYLANDING_OPERATOR_FIGURESTEXT_H
#define DAISYLANDING_OPERATOR_FIGURESTEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace daisylanding::op {

/// One line for each service of \p Document whose owner's figures are stated
/// or said to be unknown: as of when, or why they are missing.
std::vector<std::string> describeFigures(const nlohmann::json &Document);

} // namespace daisylanding::op

#endif
