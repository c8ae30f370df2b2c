#include "marjoramloom/core/endpoint.h"

#include <charconv>

namespace marjoramloom {

namespace {

auto parsePort(std::string_view text) -> std::optional<std::uint16_t>
{
    auto port = std::uint16_t(0);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    const auto isComplete = error == std::errc() && end == text.data() + text.size();
    return isComplete ? std::optional(port) : std::nullopt;
}

auto withoutBrackets(std::string_view host) -> std::string_view
{
    const auto bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

auto parseEndpoint(std::string_view text, last_reason &why) -> std::optional<boost::asio::ip::tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return why.fail(failure_kind::invalidInput, "read address", text, "expected IP:port");
    }
    const auto port = parsePort(text.substr(colon + 1));
    auto error = boost::system::error_code();
    const auto address = boost::asio::ip::make_address(std::string(withoutBrackets(text.substr(0, colon))), error);
    if (!port || error) {
        return why.fail(failure_kind::invalidInput, "read address", text, "expected IP:port");
    }
    return boost::asio::ip::tcp::endpoint(address, *port);
}

auto endpointText(const boost::asio::ip::tcp::endpoint &endpoint) -> std::string
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace marjoramloom
