#pragma once

#include "marjoramloom/core/last_reason.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// Parses "IP:port", with IPv6 addresses in brackets. Host names are not resolved. Thread safe.
auto parseEndpoint(std::string_view text, last_reason &why) -> std::optional<boost::asio::ip::tcp::endpoint>;

/// "IP:port" of \p endpoint, with IPv6 addresses in brackets. Thread safe.
auto endpointText(const boost::asio::ip::tcp::endpoint &endpoint) -> std::string;

} // namespace marjoramloom
