#pragma once

#include "marjoramloom/gateway/gateway_state.h"
#include "marjoramloom/gateway/server_log.h"
#include "marjoramloom/gateway/store_news.h"
#include "marjoramloom/store/store_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace marjoramloom {

/// Keeps the routes, keys and backend servers of a gateway_state as the platform's store has them.
///
/// While the router watches, each kind is listed once and then watched; an answer to a watch that waited without a
/// change also proves that the keys are in force. Otherwise another router tells what changed, and only a new
/// configuration is read from the store. Belongs to the router's only thread.
class platform_feed
{
public:
    /// Who is told of changes.
    struct listeners
    {
        std::function<void()> onRoutes; ///< A new configuration is in force here.
        std::function<void()> onNews; ///< The store showed changes that other routers should hear of.
    };

    /// Preconditions: \p client and \p state outlive the feed.
    platform_feed(boost::asio::any_io_executor executor, store_client &client, gateway_state &state,
                  listeners listening);

    /// Follows the routes and keys; ends with its executor.
    auto followConfiguration() -> boost::asio::awaitable<void>;

    /// Follows the list of backend servers; ends with its executor.
    auto followServers() -> boost::asio::awaitable<void>;

    /// Whether this router watches the store, and whether that is its duty.
    auto setWatching(bool watching, bool onDuty, time_point now) -> void;

    /// Looks whether the store fell silent, and drops servers that were not renewed. Call every few hundred
    /// milliseconds.
    auto tick(time_point now) -> void;

    /// What this router knows, for one that has the list of backend servers up to \p serversRevision.
    [[nodiscard]] auto newsSince(std::uint64_t serversRevision) const -> store_news;

    /// The list of backend servers is known up to here; 0 before the first.
    [[nodiscard]] auto serversRevision() const -> std::uint64_t;

    /// Takes over what another router told after \p askedAt; no proof is taken from news that nobody asked for. True
    /// where this router is as current as the news, false where it has to read from the store first, which it begins.
    auto take(const store_news &news, std::optional<boot_time> askedAt) -> bool;

private:
    /// Longest time without a sound answer of the store that is no outage: one waiting call and a slow answer.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(2'600);
    /// Changes of backend servers in one message: well below a datagram's size.
    static constexpr std::size_t CHANGES_PER_NEWS = 60;

    template<typename List>
    auto follow(std::string_view kind, List list, watch_callback onEvent, std::uint64_t &known)
        -> boost::asio::awaitable<void>;
    auto waitUntilWatching() -> boost::asio::awaitable<void>;
    auto waitUntilAnswered() -> boost::asio::awaitable<void>;
    auto onConfigurationEvent(const watch_event &event) -> void;
    auto onServerEvent(const watch_event &event) -> void;
    auto applyConfiguration(const stored_object &object) -> bool;
    auto applyServer(const server_change &change) -> void;
    auto listServers(last_reason &why) -> boost::asio::awaitable<bool>;
    auto listConfiguration(last_reason &why) -> boost::asio::awaitable<bool>;
    auto refresh() -> boost::asio::awaitable<void>;
    auto onAnswer() -> void;
    auto onFailure(const last_reason &why) -> void;

    boost::asio::any_io_executor m_executor;
    store_client &m_client;
    gateway_state &m_state;
    listeners m_listening;
    std::uint64_t m_configurationRevision = 0; ///< Of the newest configuration seen.
    std::uint64_t m_configurationSeen = 0; ///< The watch of the configuration goes on from here.
    bool m_hasNewest = false; ///< The newest configuration seen could be read and is in force.
    server_log m_servers;
    std::uint64_t m_serversSeen = 0; ///< The watch of the servers goes on from here.
    bool m_serversChanged = false; ///< Since the last bookmark.
    bool m_watching = false;
    boost::asio::steady_timer m_gate; ///< Cancelled when this router begins to watch.
    boost::asio::steady_timer m_answerGate; ///< Cancelled when the store answers again.
    bool m_refreshing = false;
    bool m_wantsConfiguration = false;
    bool m_wantsServers = false;
    time_point m_lastAnswer;
    bool m_storeLost = true;
};

} // namespace marjoramloom
