#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/gateway/decisions/decision_trace.h"
#include "marjoramloom/gateway/traffic/placement_dispatch.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>

namespace marjoramloom {

/// A request about which an operator asks.
struct explained_request
{
    std::string route; ///< Name of the route; empty to find it by host and path, or by the service.
    std::string service; ///< Name of the service, if no route is given.
    std::string account; ///< Name of the client account; empty to find it by the key.
    routed_request request;
};

/// Reads the body of an operator's question: the fields of the request, or its head as `head`. Returns nothing, with
/// what is wrong in \p why, if it cannot be read. Thread safe.
auto parseExplainedRequest(std::string_view body, last_reason &why) -> std::optional<explained_request>;

/// Explains where a request would go now, and why, without sending it.
///
/// It runs the decisions of a real request with a decision_trace, so that no state changes: no place is taken, no share
/// is charged, no retry is counted, and nothing is sent to a backend server. Not thread safe: runs on the router's only
/// thread.
class request_explainer
{
public:
    /// Preconditions: \p state and \p dispatch outlive this object.
    request_explainer(gateway_state &state, placement_dispatch &dispatch);

    /// The steps of the decision, the candidates and the outcome. A refusal is an outcome, not an error. Precondition:
    /// the object outlives the operation.
    auto explain(explained_request asked) -> boost::asio::awaitable<boost::json::object>;

private:
    auto findRoute(const explained_request &asked, decision_trace &trace) const -> const route_rule *;
    auto traceRouter(decision_trace &trace) const -> std::string;
    auto findAccount(const explained_request &asked, const route_rule &route, decision_trace &trace) const
        -> std::optional<std::string>;
    auto makeQuery(const explained_request &asked, const route_rule &route, const routed_service &service,
                   const std::string &account) const -> placement_query;
    auto traceServers(const placement_query &query, decision_trace &trace) const -> void;
    auto decideForService(placement_query query, decision_trace &trace, boost::json::object &answer)
        -> boost::asio::awaitable<void>;
    auto toJson(const decision_trace &trace, const std::string &service) const -> boost::json::object;

    gateway_state &m_state;
    placement_dispatch &m_dispatch;
};

} // namespace marjoramloom
