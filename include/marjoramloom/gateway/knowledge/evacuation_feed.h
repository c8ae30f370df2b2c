#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/store/store_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>

namespace marjoramloom {

/// Keeps the evacuated data centres of a gateway_state in sync with the platform's store.
///
/// Only a router that watches the store reads them there; the others get them from other routers. Where no other router
/// relays them, as all of them run an older version, each router reads them itself. Not thread safe: runs on the
/// router's only thread.
class evacuation_feed
{
public:
    /// What the feed depends on.
    struct hooks
    {
        std::function<bool()> isWatching; ///< Whether this router watches the store.
        std::function<bool()> isStoreLost; ///< Whether this router gets no answers from the store.
        std::function<void()> onStoreChange; ///< Called when the store reported changes that other routers need.
    };

    /// Options of the store_client of an evacuation_feed, from the \p common ones. A long poll takes two fifths of
    /// \p limit, the time within which an evacuation must be in force: one that ends without an answer on a silent
    /// connection and the next one fit into it.
    [[nodiscard]] static auto storeOptions(store_options common, std::chrono::milliseconds limit) -> store_options;

    /// Preconditions: \p client and \p state outlive the feed.
    evacuation_feed(boost::asio::any_io_executor executor, store_client &client, gateway_state &state, hooks callbacks);

    /// Lists and watches the evacuations whenever this router has to. Does not return.
    auto follow() -> boost::asio::awaitable<void>;

    /// Applies \p relayed, the evacuations as another router knows them.
    auto applyRelayed(evacuation_set relayed) -> void;

    /// Reports evacuations of data centres that no backend server or router is in, once each. Call periodically.
    auto tick() -> void;

private:
    /// A router to which no other one relays the evacuations for this long reads them itself.
    static constexpr duration MAX_RELAY_GAP = std::chrono::milliseconds(2'000);
    /// Period in which it is checked whether this router has to read the evacuations.
    static constexpr duration CHECK_PERIOD = std::chrono::milliseconds(100);
    /// Shortest and longest wait before a failed call is retried.
    static constexpr std::chrono::milliseconds FIRST_RETRY_WAIT{ 100 };
    static constexpr std::chrono::milliseconds MAX_RETRY_WAIT{ 800 };
    /// Names that are remembered as reported.
    static constexpr std::size_t MAX_REPORTED_NAMES = 1'024;

    [[nodiscard]] auto mustFollow() const -> bool;
    auto list() -> boost::asio::awaitable<bool>;
    auto watch() -> boost::asio::awaitable<watch_end>;
    auto onEvent(const watch_event &event) -> void;
    auto noteUnreadable(const std::string &name, const last_reason &why) -> void;
    [[nodiscard]] auto isDataCentreKnown(const std::string &name) const -> bool;
    auto isFirstReport(const std::string &name) -> bool;

    boost::asio::any_io_executor m_executor;
    store_client &m_client;
    gateway_state &m_state;
    hooks m_hooks;
    time_point m_lastRelayed; ///< Or, before that, the start of this router.
    bool m_mustList = true; ///< Nothing was read yet, or the store no longer has the changes after what was read.
    bool m_changed = false; ///< The set changed since the last bookmark event.
    bool m_isFailing = false; ///< The last call failed.
    std::set<std::string> m_reported; ///< Unreadable and unknown names that were reported.
    counter &m_unreadable;
    counter &m_unknown;
};

} // namespace marjoramloom
