#ifndef DAISYLANDING_OPERATOR_PROBLEMS_H
#define DAISYLANDING_OPERATOR_PROBLEMS_H

#include "config/ClusterConfig.h"
#include "http/Message.h"

namespace daisylanding::op {

/// A JSON answer.
http::Response answer(uint16_t Status, const nlohmann::json &Document);

/// A problem document for \p Code; names the field where one is at fault.
http::Response problem(std::error_code Code, std::string_view Field = {},
                       std::string_view Allowed = {});
http::Response problem(const config::InputProblem &Problem);

/// The HTTP status that a failure is answered with.
uint16_t statusOf(std::error_code Code);

} // namespace daisylanding::op

#endif
