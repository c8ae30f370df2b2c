#include "marjoramloom/gateway/knowledge/evacuation_feed.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "marjoramloom/store/store_revision.h"
#include "platform/evacuation_format.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Fraction of the time limit of an evacuation that one long poll takes.
constexpr double pollFraction = 0.4;
/// Time that the store may take to answer beyond the requested wait.
constexpr auto maxAnswerDelay = std::chrono::milliseconds(700);
/// Least time between two long polls, so that changes in quick succession are fetched together.
constexpr auto minPollInterval = std::chrono::milliseconds(100);

} // namespace

auto evacuation_feed::storeOptions(store_options common, std::chrono::milliseconds limit) -> store_options
{
    common.watchPollWait =
        std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(limit.count()) * pollFraction));
    common.watchTimeout = common.watchPollWait + maxAnswerDelay;
    common.throttle = { .minInterval = minPollInterval, .minRetryWait = std::chrono::milliseconds(0) };
    common.reconnectsWatches = false;
    return common;
}

evacuation_feed::evacuation_feed(asio::any_io_executor executor, store_client &client, gateway_state &state,
                                 hooks callbacks)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_state(state)
    , m_hooks(std::move(callbacks))
    , m_lastRelayed(system_clock_source().now())
    , m_unreadable(state.counters.at("marjoramloom_evacuations_unreadable_total"))
    , m_unknown(state.counters.at("marjoramloom_evacuations_unknown_total"))
{
}

/// While the store is lost, the watch of the configuration retries its calls, which saves those of this one.
auto evacuation_feed::mustFollow() const -> bool
{
    if (m_hooks.isStoreLost()) {
        return false;
    }
    return m_hooks.isWatching() || system_clock_source().now() - m_lastRelayed > MAX_RELAY_GAP;
}

auto evacuation_feed::follow() -> asio::awaitable<void>
{
    auto backoff = retry_backoff(FIRST_RETRY_WAIT, MAX_RETRY_WAIT, m_state.random());
    auto timer = asio::steady_timer(m_executor);
    while (true) {
        if (!mustFollow()) {
            timer.expires_after(CHECK_PERIOD);
            co_await timer.async_wait(asio::use_awaitable);
            continue;
        }
        const auto needsList = m_mustList || !m_state.evacuations.isKnown();
        if (needsList) {
            if (co_await list()) {
                continue;
            }
        } else {
            const auto end = co_await watch();
            // A server of the store that lags behind the known revision may answer like one that lost the history, so
            // this is retried with a growing wait, too.
            m_mustList = end == watch_end::expired;
            if (!m_mustList && end != watch_end::broken) {
                backoff.reset();
                m_isFailing = false;
                continue;
            }
        }
        if (!std::exchange(m_isFailing, true)) {
            log_line(log_level::warning, "evacuations_not_read").with("call", needsList ? "list" : "watch");
        }
        timer.expires_after(backoff.next(std::chrono::milliseconds(0)));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto evacuation_feed::list() -> asio::awaitable<bool>
{
    auto why = last_reason();
    const auto listed = co_await m_client.list(std::string(platform::evacuationKind), why);
    if (!listed) {
        co_return false;
    }
    m_mustList = false;
    auto names = std::set<std::string>();
    for (const auto &object : listed->objects) {
        auto reason = last_reason();
        if (auto name = platform::decodeEvacuation(object, reason)) {
            names.insert(std::move(*name));
        } else {
            noteUnreadable(object.name, reason);
        }
    }
    m_state.evacuations.apply({ .revision = listed->revision, .names = std::move(names) });
    m_hooks.onStoreChange();
    co_return true;
}

auto evacuation_feed::watch() -> asio::awaitable<watch_end>
{
    const auto callback = watch_callback([this](const watch_event &event) {
        onEvent(event);
        return mustFollow();
    });
    auto kinds = std::vector<std::string>(1, std::string(platform::evacuationKind));
    co_return co_await m_client.watch(std::move(kinds), m_state.evacuations.current().revision, callback);
}

auto evacuation_feed::onEvent(const watch_event &event) -> void
{
    if (event.kind == watch_event_kind::bookmark) {
        m_isFailing = false;
        m_state.evacuations.advanceTo(event.revision);
        if (std::exchange(m_changed, false)) {
            m_hooks.onStoreChange();
        }
        return;
    }
    auto why = last_reason();
    const auto name = platform::decodeEvacuation(event.object, why);
    if (!name) {
        noteUnreadable(event.object.name, why);
        return;
    }
    m_changed = true;
    if (event.kind == watch_event_kind::put) {
        m_state.evacuations.add(*name, event.revision);
    } else {
        m_state.evacuations.remove(*name, event.revision);
    }
}

auto evacuation_feed::applyRelayed(evacuation_set relayed) -> void
{
    m_lastRelayed = system_clock_source().now();
    if (!relayed.statesEra) {
        relayed.revision = orderedRevision(eraOf(m_state.evacuations.current().revision), relayed.revision);
    }
    m_state.evacuations.apply(std::move(relayed));
}

auto evacuation_feed::tick() -> void
{
    if (!m_state.evacuations.isKnown() || !m_state.hasServers || !m_state.roster.isComplete()) {
        return;
    }
    for (const auto &name : m_state.evacuations.current().names) {
        if (!isDataCentreKnown(name) && isFirstReport(name)) {
            m_unknown.add();
            log_line(log_level::warning, "evacuation_unknown").with("data_centre", name);
        }
    }
}

auto evacuation_feed::noteUnreadable(const std::string &name, const last_reason &why) -> void
{
    constexpr std::size_t maxLoggedBytes = 64;
    if (isFirstReport(name)) {
        m_unreadable.add();
        log_line(log_level::warning, "evacuation_unreadable")
            .with("name", name.substr(0, maxLoggedBytes))
            .with("reason", why.text());
    }
}

auto evacuation_feed::isDataCentreKnown(const std::string &name) const -> bool
{
    return name == m_state.dataCentre || !m_state.servers.serversIn(name).empty() || m_state.roster.hasRouterIn(name);
}

/// Whether \p name was not reported yet. Beyond MAX_REPORTED_NAMES, nothing is.
auto evacuation_feed::isFirstReport(const std::string &name) -> bool
{
    return m_reported.size() < MAX_REPORTED_NAMES && m_reported.insert(name).second;
}

} // namespace marjoramloom
