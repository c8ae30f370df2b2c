#pragma once

#include "marjoramloom/contract/change_log.h"

#include <boost/json/object.hpp>
#include <functional>

namespace marjoramloom {

/// Answer to an operator's request; the listener sends it as JSON.
struct operator_response
{
    unsigned status = 500; ///< HTTP.
    boost::json::object body;
};

/// Parses the body of POST /v1/changes; nothing, with problems added, where it is malformed. Thread safe.
auto parseProposal(std::string_view text, configuration_problems &problems) -> std::optional<proposed_change>;

/// Body of POST /v1/changes. Thread safe.
auto toJson(const proposed_change &proposal) -> boost::json::object;

/// Response that tells how a proposed change ended. Thread safe.
auto toResponse(const commit_outcome &outcome, const last_reason &why) -> operator_response;

/// Response to input that could not be read. Thread safe.
auto toResponse(const configuration_problems &problems) -> operator_response;

/// Response that carries \p why only. Thread safe.
auto errorResponse(unsigned status, const last_reason &why) -> operator_response;

/// JSON of change summaries. Thread safe.
auto toJson(const std::vector<change_summary> &summaries) -> boost::json::array;

/// Requests of the operators' listener, which has checked the operator's key before.
///
/// Thread safe where the platform is and the sources are.
template<watched_store Platform>
class operator_api
{
public:
    /// Gives the body of a request that the router answers from its own state.
    using source = std::function<boost::asio::awaitable<boost::json::object>()>;

    /// Precondition: all outlive the API.
    operator_api(configuration_store &store, change_log<Platform> &changes)
        : m_store(store)
        , m_changes(changes)
    {
    }

    /// Gives the body of GET \p target, for example /v1/status. To be called before the first request.
    auto addSource(std::string target, source added) -> void
    {
        m_sources[std::move(target)] = std::move(added);
    }

    /// Answers one request. \p method is upper case; \p target may have a query.
    auto handle(std::string method, std::string target, std::string body) -> boost::asio::awaitable<operator_response>;

private:
    auto postChange(std::string body) -> boost::asio::awaitable<operator_response>;

    configuration_store &m_store;
    change_log<Platform> &m_changes;
    std::map<std::string, source> m_sources;
};

} // namespace marjoramloom

#include "marjoramloom/contract/operator_api.inl"
