#pragma once

#include "marjoramloom/gateway/gateway_state.h"
#include "marjoramloom/store/store_client.h"

#include <functional>

namespace marjoramloom {

/// Keeps the routes, keys and backend servers of a gateway_state as the platform's store has them.
///
/// Each kind is listed once and then watched. An answer to a watch that waited without a change also proves that the
/// keys are in force. Belongs to the router's only thread.
class platform_feed
{
public:
    /// Preconditions: \p client and \p state outlive the feed. \p onRoutes is called after each new configuration.
    platform_feed(store_client &client, gateway_state &state, std::function<void()> onRoutes);

    /// Follows the routes and keys; ends with its executor.
    auto followConfiguration() -> boost::asio::awaitable<void>;

    /// Follows the list of backend servers; ends with its executor.
    auto followServers() -> boost::asio::awaitable<void>;

    /// Looks whether the store fell silent, and drops servers that were not renewed. Call every few hundred
    /// milliseconds.
    auto tick(time_point now) -> void;

private:
    /// Longest time without a sound answer of the store that is no outage: one waiting call and a slow answer.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(2'600);

    template<typename List>
    auto follow(std::string_view kind, List list, watch_callback onEvent) -> boost::asio::awaitable<void>;
    auto applyConfiguration(const stored_object &object) -> bool;
    auto applyServer(const watch_event &event) -> void;
    auto listServers(last_reason &why) -> boost::asio::awaitable<std::optional<std::uint64_t>>;
    auto listConfiguration(last_reason &why) -> boost::asio::awaitable<std::optional<std::uint64_t>>;
    auto onAnswer() -> void;
    auto onFailure(const last_reason &why) -> void;

    store_client &m_client;
    gateway_state &m_state;
    std::function<void()> m_onRoutes;
    std::uint64_t m_configurationRevision = 0;
    bool m_hasNewest = false; ///< The newest configuration seen could be read and is in force.
    time_point m_lastAnswer;
    bool m_storeLost = true;
};

} // namespace marjoramloom
