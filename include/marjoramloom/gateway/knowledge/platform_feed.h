#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/knowledge/server_change_log.h"
#include "marjoramloom/gateway/knowledge/store_update.h"
#include "marjoramloom/store/store_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace marjoramloom {

/// Keeps the routes, keys and backend servers of a gateway_state in sync with the platform's store.
///
/// A router that watches the store lists the objects of each kind once and then watches them. A long poll that ends
/// without a change also validates the keys. A router that does not watch, or whose watch fails, gets updates from
/// other routers, and reads from the store only a configuration that is too large for an update, or the list of servers
/// where an update does not continue its own list.
///
/// After the store returned from an older copy (a new era), it shows the past until the operator and the servers have
/// written again. Until then the configuration that was in force stays so, servers that the copy lacks stay in use for
/// RENEWAL_TIME, and those that were gone stay out of use.
/// Not thread safe: runs on the router's only thread.
class platform_feed
{
public:
    /// Longest wait of a long poll.
    static constexpr std::chrono::milliseconds MAX_POLL_WAIT{ 1'000 };
    /// The store answers a watcher that reaches it at least this often: one long poll and its answer.
    static constexpr std::chrono::milliseconds MAX_ANSWER_AGE = MAX_POLL_WAIT + std::chrono::milliseconds(300);

    /// Callbacks for changes.
    struct listeners
    {
        std::function<void()> onRoutes; ///< Called when a new configuration was applied.
        std::function<void()> onStoreChange; ///< Called when the store reported changes that other routers need.
    };

    /// Preconditions: \p client and \p state outlive the feed.
    platform_feed(boost::asio::any_io_executor executor, store_client &client, gateway_state &state,
                  listeners callbacks);

    /// Watches the configuration (routes and keys) whenever this router watches the store. Does not return.
    auto followConfiguration() -> boost::asio::awaitable<void>;

    /// Watches the list of backend servers whenever this router watches the store. Does not return.
    auto followServers() -> boost::asio::awaitable<void>;

    /// Sets whether this router watches the store, and whether it is one of the designated watchers.
    auto setWatching(bool watching, bool isDesignated, time_point now) -> void;

    /// Detects that the store stopped answering, and drops servers whose entries expired. Call every few hundred
    /// milliseconds.
    auto tick(time_point now) -> void;

    /// An update for a router whose list of backend servers is at \p serversRevision, and whose configuration is at
    /// \p configurationRevision; 0 to leave the configuration out.
    [[nodiscard]] auto updateSince(std::uint64_t serversRevision, std::uint64_t configurationRevision) const
        -> store_update;

    /// Learns of the store's era from a query of another router. Returns the query; if that router knows nothing of
    /// eras, with its revisions in those of this router.
    auto takeQuery(store_query query) -> store_query;

    /// Revision of the configuration; 0 before one was read.
    [[nodiscard]] auto configurationRevision() const -> std::uint64_t;

    /// Revision of the list of backend servers; 0 before it was read.
    [[nodiscard]] auto serversRevision() const -> std::uint64_t;

    /// Whether this router watches the store.
    [[nodiscard]] auto isWatching() const -> bool;

    /// Whether this router gets no answers from the store.
    [[nodiscard]] auto isStoreLost() const -> bool;

    /// Applies an update of another router, which answers a query sent at \p queriedAt; an update that answers no query
    /// validates no keys. Returns true if this router is then as current as the update. Returns false if the other
    /// router has lost the store or is behind, or if this one first has to read from the store, which it starts to do.
    auto applyUpdate(const store_update &received, std::optional<boot_time> queriedAt) -> bool;

private:
    /// The store counts as lost after this time without a valid answer: one long poll and a slow answer.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(2'600);
    /// A router that does not watch counts the store as lost if a watcher has lost it and no other one sent an update
    /// for this long.
    static constexpr duration LOST_REPORT_DELAY = std::chrono::milliseconds(1'000);
    /// Changes of backend servers in one update, so that it fits well into a datagram.
    static constexpr std::size_t MAX_CHANGES_PER_UPDATE = 60;
    /// Limit on the entries in an update, which fits into a datagram together with a configuration.
    static constexpr std::size_t MAX_CHANGE_BYTES_PER_UPDATE = std::size_t(16) << 10U;
    /// Largest configuration in an update. It fits into a datagram together with the changes.
    static constexpr std::size_t MAX_RELAYED_CONFIGURATION = std::size_t(40) << 10U;

    /// Shortest time after a failed read of what an update showed to be missing until the next one.
    static constexpr duration MISSING_READ_INTERVAL = std::chrono::milliseconds(1'000);

    template<typename List>
    auto watchKind(std::string_view kind, List list, watch_callback onEvent, std::uint64_t &revision)
        -> boost::asio::awaitable<void>;
    auto waitUntilWatching() -> boost::asio::awaitable<void>;
    auto waitForStore() -> boost::asio::awaitable<void>;
    auto onConfigurationEvent(const watch_event &event) -> void;
    auto onServerEvent(const watch_event &event) -> void;
    auto applyConfiguration(const stored_object &object, std::string_view source) -> bool;
    auto applyServer(const server_change &change) -> void;
    auto listServers(last_reason &why) -> boost::asio::awaitable<bool>;
    auto listConfiguration(last_reason &why) -> boost::asio::awaitable<bool>;
    auto readMissing() -> boost::asio::awaitable<void>;
    auto noteStoreAnswer() -> void;
    auto noteOwnStoreAnswer() -> void;
    auto limitRenewals(time_point now) -> void;
    auto noteStoreFailure(const last_reason &why) -> void;
    [[nodiscard]] auto inOwnEras(store_update update) const -> store_update;
    auto noteEra(std::uint64_t listRevision, time_point now) -> void;

    boost::asio::any_io_executor m_executor;
    store_client &m_client;
    gateway_state &m_state;
    listeners m_listeners;
    std::uint64_t m_configurationRevision = 0; ///< Of the newest configuration that was applied.
    std::string m_configuration; ///< The newest configuration that was applied, as stored.
    std::uint64_t m_newestConfigurationRevision = 0; ///< Highest revision seen, readable or not.
    std::uint64_t m_configurationWatchRevision = 0; ///< The watch continues after this one; 0 to list first.
    bool m_isNewestApplied = false; ///< The newest configuration that was seen is valid and was applied.
    server_change_log m_serverChanges;
    std::uint64_t m_serversWatchRevision = 0; ///< The watch continues after this one; 0 to list first.
    bool m_serversChanged = false; ///< A server changed since the last bookmark event.
    bool m_watching = false;
    boost::asio::steady_timer m_watchStart; ///< Cancelled when this router begins to watch.
    boost::asio::steady_timer m_storeReturn; ///< Cancelled when the store answers again.
    bool m_isReadingMissing = false; ///< readMissing() is running.
    time_point m_nextMissingRead; ///< readMissing() is not started again before this time.
    bool m_needsConfiguration = false; ///< readMissing() has to read the configuration.
    bool m_needsServers = false; ///< readMissing() has to read the list of backend servers.
    time_point m_lastAnswer; ///< Of the store, or of a router that gets answers from it.
    time_point m_lastOwnAnswer; ///< Of the store to this router.
    bool m_storeLost = true;
    boot_time m_eraSince = boot_time::min(); ///< When a list showed that a new era had begun.
};

} // namespace marjoramloom
