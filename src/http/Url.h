#ifndef DAISYLANDING_HTTP_URL_H
#define DAISYLANDING_HTTP_URL_H

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace daisylanding::http {

constexpr std::string_view HttpScheme = "http://";

/// The host and port of a URL.
std::string_view hostOfUrl(std::string_view Url);

/// The path and query of a URL; the path is "/" if it has none.
std::string targetOfUrl(std::string_view Url);

/// The address of a host that is named by one, with its port (80 by default);
/// none if it is named otherwise.
std::optional<sockaddr_in> addressOfHost(std::string_view Host);

} // namespace daisylanding::http

#endif
