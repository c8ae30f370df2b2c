#include "marjoramloom/gateway/knowledge/store_relay.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

store_relay::store_relay(asio::any_io_executor executor, platform_feed &feed, gateway_state &state,
                         senders datagramSenders)
    : m_timer(std::move(executor))
    , m_feed(feed)
    , m_state(state)
    , m_senders(std::move(datagramSenders))
    , m_watchRole(system_clock_source().now())
    , m_sentQueries(state.counters.at("marjoramloom_store_questions_total"))
    , m_relayedValidations(state.counters.at("marjoramloom_store_relayed_proofs_total"))
{
}

auto store_relay::run() -> asio::awaitable<void>
{
    while (true) {
        const auto now = system_clock_source().now();
        const auto isDesignated = m_watchRole.isDesignated(m_state.roster, now);
        m_feed.setWatching(m_watchRole.shouldWatch(m_state.roster, now), isDesignated, now);
        if (!isDesignated || m_feed.isStoreLost()) {
            sendQuery(now); // Also while this router watches, to notice when a designated watcher answers again.
        }
        auto error = boost::system::error_code();
        m_timer.expires_after(QUERY_PERIOD);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto store_relay::noteRoutersKnown() -> void
{
    m_watchRole.noteRoutersKnown(system_clock_source().now());
    m_timer.cancel();
}

/// Sends a query to one of the watchers that are not silent, in turn. Each of them then sends its updates to this
/// router, so none of them delays a change if it has lost the store.
auto store_relay::sendQuery(time_point now) -> void
{
    auto target = std::uint64_t(0);
    auto routersToSkip = m_lastQueryNumber % watch_role::WATCHER_COUNT;
    for (const auto id : m_state.roster.watchOrder()) {
        if (id == m_state.roster.self() || !m_state.roster.isResponsive(id, now)) {
            continue;
        }
        target = id;
        if (routersToSkip-- == 0) {
            break;
        }
    }
    if (target == 0) {
        return;
    }
    const auto query = store_query{ .number = ++m_lastQueryNumber,
                                    .serversRevision = m_feed.serversRevision(),
                                    .configurationRevision = m_feed.configurationRevision() };
    m_pendingQueries.emplace(query.number, boot_clock::now());
    if (m_pendingQueries.size() > MAX_PENDING_QUERIES) {
        m_pendingQueries.erase(m_pendingQueries.begin());
    }
    m_state.roster.noteRequestSent(target, now);
    m_sentQueries.add();
    m_senders.query(target, query);
}

auto store_relay::onQuery(std::uint64_t router, const store_query &received) -> void
{
    const auto query = m_feed.takeQuery(received);
    auto &follower = m_followers[router];
    follower = { .queriedAt = system_clock_source().now(),
                 .serversRevision = query.serversRevision,
                 .configurationRevision = query.configurationRevision };
    auto update = makeUpdate(follower);
    update.number = query.number;
    m_senders.update(router, update);
}

/// An update for \p follower, which then counts as sent to it.
auto store_relay::makeUpdate(follower &follower) const -> store_update
{
    auto update = m_feed.updateSince(follower.serversRevision, follower.configurationRevision);
    if (m_state.evacuations.isKnown()) {
        update.evacuations = m_state.evacuations.current();
    }
    follower.serversRevision = update.serversRevision;
    if (update.configuration) {
        follower.configurationRevision = update.configurationRevision;
    }
    return update;
}

auto store_relay::onUpdate(const store_update &update) -> void
{
    const auto query = m_pendingQueries.find(update.number);
    const auto queriedAt = query == m_pendingQueries.end() ? std::nullopt : std::optional(query->second);
    const auto isCurrent = m_feed.applyUpdate(update, queriedAt);
    if (!queriedAt) {
        return;
    }
    // The update also answers all earlier queries.
    m_pendingQueries.erase(m_pendingQueries.begin(), std::next(query));
    const auto maxAge = m_state.settings.keyLifetime / VALIDATIONS_PER_LIFETIME;
    const auto isValidated = update.validationAge ? *update.validationAge <= maxAge : update.configurationRevision == 0;
    // A watcher that has just started is not cut off; it has read no configuration yet.
    const auto hasStarted = update.configurationRevision > 0;
    if (hasStarted && (update.storeLost || update.answerAge > platform_feed::MAX_ANSWER_AGE)) {
        if (m_watchRole.noteWatcherCutOff()) {
            m_timer.cancel();
        }
    } else if (isCurrent && isValidated) {
        m_relayedValidations.add();
        m_watchRole.noteUpToDate(system_clock_source().now());
    }
}

auto store_relay::notifyFollowers() -> void
{
    const auto now = system_clock_source().now();
    std::erase_if(m_followers, [&](const auto &entry) { return now - entry.second.queriedAt > FOLLOWER_TIMEOUT; });
    for (auto &[router, follower] : m_followers) {
        m_senders.update(router, makeUpdate(follower));
    }
}

} // namespace marjoramloom
