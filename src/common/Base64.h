#ifndef DAISYLANDING_COMMON_BASE64_H
#define DAISYLANDING_COMMON_BASE64_H

#include "common/Error.h"

#include <string>
#include <string_view>

namespace daisylanding {

/// RFC 4648 base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Expects padding; no whitespace. Errors: Malformed.
Result<std::string> decodeBase64(std::string_view Text);

} // namespace daisylanding

#endif
