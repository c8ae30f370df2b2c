#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/traffic/placement_dispatch.h"
#include "marjoramloom/gateway/traffic/stream_lookup.h"
#include "marjoramloom/router/http_exchange.h"

namespace marjoramloom {

/// Handles requests of callers: authenticates each one and forwards it along its route of the platform's configuration.
///
/// Method, path and body are forwarded unchanged; platform::copyRequestFields() says which headers are. Not thread
/// safe: runs on the router's only thread.
class gateway_handler
{
public:
    /// Precondition: \p state, \p dispatch and \p streams outlive the handler.
    gateway_handler(gateway_state &state, placement_dispatch &dispatch, stream_lookup &streams);

    /// Answers the request of \p exchange, or closes its connection where the caller has disconnected.
    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

    /// Adds the request's id to its refusal.
    auto addToRefusal(const boost::beast::http::request_header<> &head, http_reply &refusal) const -> void;

private:
    auto refuse(http_exchange &exchange, const routed_request &request, unsigned status, std::string_view reason)
        -> boost::asio::awaitable<void>;
    auto forward(http_exchange &exchange, routed_request request, const route_rule &route, std::string account)
        -> boost::asio::awaitable<void>;

    gateway_state &m_state;
    placement_dispatch &m_dispatch;
    stream_lookup &m_streams;
};

} // namespace marjoramloom
