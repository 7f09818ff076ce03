#ifndef DAISYLANDING_OPERATOR_PROBLEMS_H
#define DAISYLANDING_OPERATOR_PROBLEMS_H

#include "config/ClusterConfig.h"
#include "http/Message.h"

namespace daisylanding::op {

/// Builds a response with a JSON body.
http::Response makeJsonResponse(uint16_t Status,
                                const nlohmann::json &Document);

/// Builds a response with a problem document for \p Code. \p Field names the
/// rejected field, \p Allowed describes what is accepted there.
http::Response makeProblemResponse(std::error_code Code,
                                   std::string_view Field = {},
                                   std::string_view Allowed = {});
http::Response makeProblemResponse(const config::InputProblem &Problem);

/// The HTTP status with which an error is reported.
uint16_t httpStatus(std::error_code Code);

} // namespace daisylanding::op

#endif
