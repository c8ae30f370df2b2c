#pragma once

#include "marjoramloom/gateway/decisions/watch_role.h"
#include "marjoramloom/gateway/knowledge/platform_feed.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <unordered_map>

namespace marjoramloom {

/// Forwards the contents of the platform's store from the few routers of a data centre that watch it to the others.
///
/// A router that does not watch sends queries to those that do, in turn and several times a second, and gets
/// unsolicited updates of changes in between. A validation of the keys counts from the time of the query, so a slow
/// answer cannot prolong it. Not thread safe: runs on the router's only thread.
class store_relay
{
public:
    /// Functions that send datagrams to another router; datagrams may be lost.
    struct senders
    {
        std::function<void(std::uint64_t router, const store_query &query)> query;
        std::function<void(std::uint64_t router, const store_update &update)> update;
    };

    /// Preconditions: \p feed and \p state outlive the relay.
    store_relay(boost::asio::any_io_executor executor, platform_feed &feed, gateway_state &state,
                senders datagramSenders);

    /// Decides periodically whether this router watches the store, and sends queries. Does not return.
    auto run() -> boost::asio::awaitable<void>;

    /// The other routers were read from the store; the watchers can be determined.
    auto noteRoutersKnown() -> void;

    /// Answers the query of \p router.
    auto onQuery(std::uint64_t router, const store_query &received) -> void;

    /// Applies an update of another router.
    auto onUpdate(const store_update &update) -> void;

    /// Sends an update to the routers that sent a query recently. Call after a change.
    auto notifyFollowers() -> void;

private:
    /// A router that gets its updates from this one.
    struct follower
    {
        time_point queriedAt;
        std::uint64_t serversRevision = 0; ///< Of the list of backend servers that it has or was sent.
        std::uint64_t configurationRevision = 0; ///< Of the configuration that it has or was sent; 0 for none.
    };

    /// Time between two queries; changes must be in force within two seconds also if the watchers are cut off.
    static constexpr duration QUERY_PERIOD = std::chrono::milliseconds(300);
    /// An update counts as current only if its validation is no older than the keys' lifetime divided by this.
    static constexpr int VALIDATIONS_PER_LIFETIME = 2;
    /// A router that sent no query for this long watches the store itself or has stopped.
    static constexpr duration FOLLOWER_TIMEOUT = std::chrono::milliseconds(2'000);
    /// Unanswered queries that are remembered; answers to older ones validate no keys.
    static constexpr std::size_t MAX_PENDING_QUERIES = 6;

    auto sendQuery(time_point now) -> void;
    auto makeUpdate(follower &follower) const -> store_update;

    boost::asio::steady_timer m_timer;
    platform_feed &m_feed;
    gateway_state &m_state;
    senders m_senders;
    watch_role m_watchRole;
    std::uint64_t m_lastQueryNumber = 0;
    std::map<std::uint64_t, boot_time> m_pendingQueries; ///< Send times of the unanswered queries, by number.
    std::unordered_map<std::uint64_t, follower> m_followers;
    counter &m_sentQueries;
    counter &m_relayedValidations;
};

} // namespace marjoramloom
