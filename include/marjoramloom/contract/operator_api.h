#pragma once

#include "marjoramloom/contract/change_log.h"

#include <boost/json/object.hpp>
#include <functional>

namespace marjoramloom {

/// Response to an operator's request; the listener sends it as JSON.
struct operator_response
{
    unsigned status = 500; ///< HTTP status code.
    boost::json::object body;
};

/// Parses the body of POST /v1/changes. If it is malformed, adds to \p problems and returns nothing. Thread safe.
auto parseProposal(std::string_view text, configuration_problems &problems) -> std::optional<proposed_change>;

/// Makes the body of POST /v1/changes. Thread safe.
auto toJson(const proposed_change &proposal) -> boost::json::object;

/// Makes the response for the outcome of a proposed change. Thread safe.
auto toResponse(const commit_outcome &outcome, const last_reason &why) -> operator_response;

/// Makes the response to a malformed proposal. Thread safe.
auto toResponse(const configuration_problems &problems) -> operator_response;

/// Makes a response that holds \p why only. Thread safe.
auto errorResponse(unsigned status, const last_reason &why) -> operator_response;

/// Converts change summaries to JSON. Thread safe.
auto toJson(const std::vector<change_summary> &summaries) -> boost::json::array;

/// Handles requests of operators. The caller must have checked the operator's key.
///
/// Thread safe if the platform and the added handlers are.
template<watched_store Platform>
class operator_api
{
public:
    /// Returns the response body for a GET request.
    using get_handler = std::function<boost::asio::awaitable<boost::json::object>()>;

    /// Precondition: \p store and \p changes outlive the API.
    operator_api(configuration_store &store, change_log<Platform> &changes)
        : m_store(store)
        , m_changes(changes)
    {
    }

    /// Adds the handler of GET \p target, for example /v1/status. Must be called before the first request.
    auto addGetHandler(std::string target, get_handler handler) -> void
    {
        m_getHandlers[std::move(target)] = std::move(handler);
    }

    /// Handles one request. \p method is in upper case; \p target may have a query.
    auto handle(std::string method, std::string target, std::string body) -> boost::asio::awaitable<operator_response>;

private:
    auto postChange(std::string body) -> boost::asio::awaitable<operator_response>;

    configuration_store &m_store;
    change_log<Platform> &m_changes;
    std::map<std::string, get_handler> m_getHandlers;
};

} // namespace marjoramloom

#include "marjoramloom/contract/operator_api.inl"
