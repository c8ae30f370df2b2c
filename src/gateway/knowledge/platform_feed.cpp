#include "marjoramloom/gateway/knowledge/platform_feed.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "marjoramloom/store/store_revision.h"
#include "platform/configuration_format.h"
#include "platform/server_format.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Shortest and longest wait before a failed call is retried.
constexpr auto firstRetryWait = std::chrono::milliseconds(100);
constexpr auto maxRetryWait = std::chrono::milliseconds(800);
/// Period in which a pause before a retry is checked for an earlier end.
constexpr auto pauseSlice = std::chrono::milliseconds(200);
/// Throttling of the designated watchers' calls. Updates about draining servers and revoked keys may take seconds; a
/// period of 100 ms combines the changes of a fleet that starts into fewer calls.
constexpr auto designatedThrottle =
    watch_throttle{ .minInterval = std::chrono::milliseconds(100), .minRetryWait = std::chrono::milliseconds(0) };
/// Throttling of a router that watches because it gets no updates. It calls less often, as the calls of a whole fleet
/// add up when the store is lost and when it returns; the designated watchers report the return to it.
constexpr auto fallbackThrottle =
    watch_throttle{ .minInterval = std::chrono::milliseconds(1'000), .minRetryWait = std::chrono::milliseconds(2'000) };

auto pause(duration wait) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, wait);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

platform_feed::platform_feed(asio::any_io_executor executor, store_client &client, gateway_state &state,
                             listeners callbacks)
    : m_executor(executor)
    , m_client(client)
    , m_state(state)
    , m_listeners(std::move(callbacks))
    , m_watchStart(executor, time_point::max())
    , m_storeReturn(executor, time_point::max())
    , m_lastAnswer(system_clock_source().now())
{
}

/// Watches the objects of \p kind for changes after \p revision. Calls \p list first if \p revision is 0, which also
/// happens when the store no longer has the changes after it.
template<typename List>
auto platform_feed::watchKind(std::string_view kind, List list, watch_callback onEvent, std::uint64_t &revision)
    -> asio::awaitable<void>
{
    auto backoff = retry_backoff(firstRetryWait, maxRetryWait, m_state.random());
    auto relistBackoff = retry_backoff(firstRetryWait, maxRetryWait, m_state.random());
    while (true) {
        co_await waitUntilWatching();
        if (kind != platform::configurationKind) {
            co_await waitForStore();
        }
        const auto previousAnswer = m_lastAnswer;
        const auto previousOwnAnswer = m_lastOwnAnswer;
        auto end = watch_end::broken;
        auto why = last_reason();
        const auto isListed = revision == 0;
        if (isListed && !co_await list(why)) {
            noteStoreFailure(why);
        } else {
            auto kinds = std::vector<std::string>(1, std::string(kind));
            end = co_await m_client.watch(std::move(kinds), revision, onEvent);
        }
        if (m_lastAnswer != previousAnswer) {
            backoff.reset();
        }
        if (end == watch_end::expired) {
            revision = 0;
            if (isListed) {
                // A list that the store itself cannot continue from is not repeated at once.
                co_await pause(relistBackoff.next());
            }
            continue;
        }
        relistBackoff.reset();
        if (end == watch_end::broken) {
            // A connection that has worked may break while the store is available, so the first retry is soon.
            const auto hasWorked = m_lastOwnAnswer != previousOwnAnswer;
            const auto minWait = hasWorked ? std::chrono::milliseconds(0) : m_client.watchThrottle().minRetryWait;
            // The wait ends early if the store answers another call of this router.
            const auto failedAt = system_clock_source().now();
            const auto retryAt = failedAt + backoff.next(minWait);
            for (auto now = failedAt; now < retryAt && m_lastOwnAnswer <= failedAt; now = system_clock_source().now()) {
                co_await pause(std::min<duration>(retryAt - now, pauseSlice));
            }
        }
    }
}

/// Waits until the store answers. While it is lost, only the watch of the configuration retries its calls, which saves
/// those of the other watch.
auto platform_feed::waitForStore() -> asio::awaitable<void>
{
    while (m_storeLost) {
        auto error = boost::system::error_code();
        co_await m_storeReturn.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto platform_feed::waitUntilWatching() -> asio::awaitable<void>
{
    while (!m_watching) {
        auto error = boost::system::error_code();
        co_await m_watchStart.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto platform_feed::setWatching(bool watching, bool isDesignated, time_point now) -> void
{
    m_client.setWatchThrottle(isDesignated ? designatedThrottle : fallbackThrottle);
    if (watching == m_watching) {
        return;
    }
    m_watching = watching;
    log_line(log_level::info, "store_watch").with("watches", watching ? "yes" : "no");
    if (watching) {
        m_lastAnswer = now;
        // The configuration is listed at once: a watch validates the keys only when its first long poll ends.
        m_configurationWatchRevision = 0;
        m_watchStart.cancel();
    }
}

auto platform_feed::followConfiguration() -> asio::awaitable<void>
{
    const auto list = [this](last_reason &why) {
        return listConfiguration(why);
    };
    const auto onEvent = watch_callback([this](const watch_event &event) {
        onConfigurationEvent(event);
        return m_watching;
    });
    co_await watchKind(platform::configurationKind, list, onEvent, m_configurationWatchRevision);
}

auto platform_feed::onConfigurationEvent(const watch_event &event) -> void
{
    noteOwnStoreAnswer();
    m_configurationWatchRevision = std::max(m_configurationWatchRevision, event.revision);
    if (event.kind == watch_event_kind::put && event.object.name == platform::configurationName) {
        applyConfiguration(event.object, "store");
        m_listeners.onStoreChange();
    }
    if (event.kind == watch_event_kind::bookmark && m_isNewestApplied) {
        m_state.keys.noteValidation(event.requestedAt);
    }
}

auto platform_feed::listConfiguration(last_reason &why) -> asio::awaitable<bool>
{
    const auto requestedAt = boot_clock::now();
    const auto listed = co_await m_client.list(std::string(platform::configurationKind), why);
    if (!listed) {
        co_return false;
    }
    noteOwnStoreAnswer();
    // If there is no configuration yet, the watch reports the first one.
    for (const auto &object : listed->objects) {
        if (object.name == platform::configurationName && applyConfiguration(object, "store")) {
            m_state.keys.noteValidation(requestedAt);
        }
    }
    m_configurationWatchRevision = std::max(m_configurationWatchRevision, listed->revision);
    co_return true;
}

/// Applies a configuration that came from \p source; returns false if it cannot be decoded.
auto platform_feed::applyConfiguration(const stored_object &object, std::string_view source) -> bool
{
    if (object.revision < m_newestConfigurationRevision) {
        return m_isNewestApplied; // A late answer with an older configuration.
    }
    m_newestConfigurationRevision = object.revision;
    auto why = last_reason();
    auto content = platform::decodeConfiguration(object.value, why);
    const auto previousVersion = m_state.routes ? m_state.routes->version() : 0;
    const auto isReverted =
        content && content->version < previousVersion && eraOf(object.revision) > eraOf(m_configurationRevision);
    m_isNewestApplied = content && !isReverted;
    m_state.hasNewerConfiguration = !m_isNewestApplied;
    if (!content) {
        log_line(log_level::error, "configuration_unreadable")
            .with("revision", revisionText(object.revision))
            .with("reason", why.text());
        return false;
    }
    if (isReverted) {
        log_line(log_level::warning, "configuration_reverted")
            .with("version", content->version)
            .with("in_force", previousVersion)
            .with("revision", revisionText(object.revision));
        return false;
    }
    if (object.revision <= m_configurationRevision) {
        return true; // The current configuration.
    }
    m_configurationRevision = object.revision;
    m_configuration = object.value;
    m_state.routes = std::make_shared<const route_table>(std::move(*content));
    log_line(log_level::info, "configuration")
        .with("version", m_state.routes->version())
        .with("before", previousVersion)
        .with("revision", revisionText(object.revision))
        .with("source", source)
        .with("bytes", object.value.size())
        .with("routes", m_state.routes->routeCount())
        .with("keys", m_state.routes->keyCount());
    m_listeners.onRoutes();
    return true;
}

auto platform_feed::followServers() -> asio::awaitable<void>
{
    const auto list = [this](last_reason &why) {
        return listServers(why);
    };
    const auto onEvent = watch_callback([this](const watch_event &event) {
        onServerEvent(event);
        return m_watching;
    });
    co_await watchKind(platform::serverKind, list, onEvent, m_serversWatchRevision);
}

auto platform_feed::onServerEvent(const watch_event &event) -> void
{
    noteOwnStoreAnswer();
    m_serversWatchRevision = std::max(m_serversWatchRevision, event.revision);
    if (event.kind != watch_event_kind::bookmark) {
        applyServer({ .object = event.object, .removed = event.kind == watch_event_kind::remove });
        m_serversChanged = true;
        return;
    }
    m_serverChanges.advanceTo(event.revision);
    m_state.serverListFreshness.noteValidation(event.requestedAt);
    if (std::exchange(m_serversChanged, false)) {
        m_listeners.onStoreChange();
    }
}

auto platform_feed::listServers(last_reason &why) -> asio::awaitable<bool>
{
    const auto requestedAt = boot_clock::now();
    const auto listed = co_await m_client.list(std::string(platform::serverKind), why);
    if (!listed) {
        co_return false;
    }
    noteOwnStoreAnswer();
    if (m_state.hasServers && listed->revision < m_serverChanges.revision()) {
        // Other routers relayed newer changes while the answer was on its way.
        m_serversWatchRevision = m_serverChanges.revision();
        log_line(log_level::info, "late_list")
            .with("revision", revisionText(listed->revision))
            .with("applied", revisionText(m_serverChanges.revision()));
        co_return true;
    }
    auto servers = std::vector<listed_server>();
    auto revisions = std::vector<std::uint64_t>(); // Of the servers, in the same order.
    for (const auto &object : listed->objects) {
        auto reason = last_reason();
        if (auto server = platform::decodeServer(object, reason)) {
            servers.push_back(std::move(*server));
            revisions.push_back(object.revision);
        } else {
            log_line(log_level::warning, "server_unreadable").with("server", object.name).with("reason", reason.text());
        }
    }
    const auto now = system_clock_source().now();
    noteEra(listed->revision, now);
    const auto source = m_state.hasServers ? cold_engines::entry_source::change : cold_engines::entry_source::firstList;
    m_state.servers.replaceAll(servers, listed->revision, now);
    for (auto index = std::size_t(0); index < servers.size(); ++index) {
        m_state.noteServerEntry(servers[index], revisions[index], source, now);
    }
    m_state.hasServers = true;
    m_state.serverListFreshness.noteValidation(requestedAt);
    m_serverChanges.reset(listed->revision);
    m_serversWatchRevision = listed->revision;
    m_listeners.onStoreChange();
    co_return true;
}

auto platform_feed::applyServer(const server_change &change) -> void
{
    if (change.object.revision <= m_serverChanges.revision()) {
        return; // Already applied from another source.
    }
    const auto now = system_clock_source().now();
    auto why = last_reason();
    auto server = change.removed ? std::nullopt : platform::decodeServer(change.object, why);
    if (server) {
        m_serverChanges.add(change);
        m_state.servers.put(*server, now);
        m_state.noteServerEntry(*server, change.object.revision, cold_engines::entry_source::change, now);
        return;
    }
    if (!change.removed) {
        log_line(log_level::warning, "server_unreadable").with("server", change.object.name).with("reason", why.text());
    }
    // An unreadable entry names no server, so other routers are only told that there is none. It may be too large for a
    // datagram.
    auto removal = change;
    removal.removed = true;
    removal.object.value.clear();
    m_serverChanges.add(std::move(removal));
    m_state.servers.remove(change.object.name, change.object.revision, now);
}

auto platform_feed::configurationRevision() const -> std::uint64_t
{
    return m_configurationRevision;
}

auto platform_feed::serversRevision() const -> std::uint64_t
{
    return m_serverChanges.revision();
}

auto platform_feed::isWatching() const -> bool
{
    return m_watching;
}

auto platform_feed::isStoreLost() const -> bool
{
    return m_storeLost;
}

auto platform_feed::tick(time_point now) -> void
{
    if (m_watching && !m_storeLost && now - m_lastAnswer > SILENCE_LIMIT) {
        auto why = last_reason();
        why.fail(failure_kind::unavailable, "watch", "platform", "no answer");
        noteStoreFailure(why);
    }
    limitRenewals(now);
    m_state.servers.tick(now);
    m_state.pauses.tick(boot_clock::now());
}

auto platform_feed::noteOwnStoreAnswer() -> void
{
    m_state.storeContact.noteAnswer(boot_clock::now());
    noteStoreAnswer();
    m_lastOwnAnswer = m_lastAnswer;
}

/// Counts the time for renewals from the first answer of the store to any router. Entries that disappeared while the
/// store answered other routers were removed and did not expire.
auto platform_feed::limitRenewals(time_point now) -> void
{
    if (const auto &answered = m_state.storeContact.latest()) {
        const auto since = std::max(answered->since, m_eraSince);
        const auto available = std::chrono::duration_cast<duration>(boot_clock::now() - since);
        m_state.servers.limitRenewals(now + server_directory::RENEWAL_TIME - available);
    }
}

/// Servers whose entries are missing since the store returned from an older copy may write them again.
auto platform_feed::noteEra(std::uint64_t listRevision, time_point now) -> void
{
    if (m_state.hasServers && eraOf(listRevision) > eraOf(m_serverChanges.revision())) {
        m_eraSince = boot_clock::now();
        m_state.servers.expectRenewals(now + server_directory::RENEWAL_TIME);
    }
}

auto platform_feed::noteStoreAnswer() -> void
{
    m_lastAnswer = system_clock_source().now();
    if (m_storeLost) {
        m_storeLost = false;
        m_storeReturn.cancel();
        m_state.servers.onStoreRegained(m_lastAnswer);
        limitRenewals(m_lastAnswer);
        log_line(log_level::info, "store_regained").with("address", "platform");
    }
}

auto platform_feed::noteStoreFailure(const last_reason &why) -> void
{
    if (!m_storeLost) {
        m_storeLost = true;
        m_state.servers.onStoreLost();
        log_line(log_level::warning, "store_lost").with("reason", why.text());
    }
}

} // namespace marjoramloom
