#ifndef DAISYLANDING_OPERATOR_PROBLEMS_H
#define DAISYLANDING_OPERATOR_PROBLEMS_H

#include "config/ClusterConfig.h"
#include "http/Message.h"

namespace daisylanding::op {

/// A JSON answer.
http::Response makeJsonResponse(uint16_t Status,
                                const nlohmann::json &Document);

/// A problem document for \p Code; names the field where one is at fault.
http::Response makeProblemResponse(std::error_code Code,
                                   std::string_view Field = {},
                                   std::string_view Allowed = {});
http::Response makeProblemResponse(const config::InputProblem &Problem);

/// The HTTP status that a failure is answered with.
uint16_t httpStatus(std::error_code Code);

} // namespace daisylanding::op

#endif
