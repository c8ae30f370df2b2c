#include "marjoramloom/gateway/platform_feed.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "platform/configuration_format.h"
#include "platform/server_format.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Waits between calls that fail.
constexpr auto retryFirst = std::chrono::milliseconds(100);
constexpr auto retryLimit = std::chrono::milliseconds(800);
/// News of leaving servers and revoked keys may take seconds; a tenth of one joins the changes of a fleet that starts.
constexpr auto dutyPace =
    watch_pace{ .period = std::chrono::milliseconds(100), .leastRetryWait = std::chrono::milliseconds(0) };
/// A router that watches in place of others calls less often: the calls of a whole fleet add up when the store goes
/// away and when it is back, and the routers on duty tell it of the store's return.
constexpr auto standInPace =
    watch_pace{ .period = std::chrono::milliseconds(1'000), .leastRetryWait = std::chrono::milliseconds(2'000) };

auto pause(duration wait) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, wait);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

platform_feed::platform_feed(asio::any_io_executor executor, store_client &client, gateway_state &state,
                             listeners listening)
    : m_executor(executor)
    , m_client(client)
    , m_state(state)
    , m_listening(std::move(listening))
    , m_gate(executor, time_point::max())
    , m_answerGate(executor, time_point::max())
    , m_lastAnswer(system_clock_source().now())
{
}

/// Watches a kind from the revision \p known on, and lists it by \p list where that is 0 or no longer kept.
template<typename List>
auto platform_feed::follow(std::string_view kind, List list, watch_callback onEvent, std::uint64_t &known)
    -> asio::awaitable<void>
{
    auto backoff = retry_backoff(retryFirst, retryLimit, m_state.random());
    while (true) {
        co_await waitUntilWatching();
        if (kind != platform::configurationKind) {
            co_await waitUntilAnswered();
        }
        const auto answeredBefore = m_lastAnswer;
        auto end = watch_end::broken;
        auto why = last_reason();
        if (known == 0 && !co_await list(why)) {
            onFailure(why);
        } else {
            auto kinds = std::vector<std::string>(1, std::string(kind));
            end = co_await m_client.watch(std::move(kinds), known, onEvent);
        }
        if (m_lastAnswer != answeredBefore) {
            backoff.reset();
        }
        if (end == watch_end::expired) {
            known = 0;
        } else if (end == watch_end::broken) {
            co_await pause(backoff.next(m_client.watchPace().leastRetryWait));
        }
    }
}

/// While the store is away, the watch of the configuration alone tries whether it is back.
auto platform_feed::waitUntilAnswered() -> asio::awaitable<void>
{
    while (m_storeLost) {
        auto error = boost::system::error_code();
        co_await m_answerGate.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto platform_feed::waitUntilWatching() -> asio::awaitable<void>
{
    while (!m_watching) {
        auto error = boost::system::error_code();
        co_await m_gate.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto platform_feed::setWatching(bool watching, bool onDuty, time_point now) -> void
{
    m_client.setWatchPace(onDuty ? dutyPace : standInPace);
    if (watching == m_watching) {
        return;
    }
    m_watching = watching;
    log_line(log_level::info, "store_watch").with("watches", watching ? "yes" : "no");
    if (watching) {
        m_lastAnswer = now;
        // Read at once: a watch proves that the keys are in force only when its first wait is over.
        m_configurationSeen = 0;
        m_gate.cancel();
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
    co_await follow(platform::configurationKind, list, onEvent, m_configurationSeen);
}

auto platform_feed::onConfigurationEvent(const watch_event &event) -> void
{
    onAnswer();
    m_configurationSeen = std::max(m_configurationSeen, event.revision);
    if (event.kind == watch_event_kind::put && event.object.name == platform::configurationName) {
        applyConfiguration(event.object);
        m_listening.onNews();
    }
    if (event.kind == watch_event_kind::bookmark && m_hasNewest) {
        m_state.keys.noteValidation(event.askedAt);
    }
}

auto platform_feed::listConfiguration(last_reason &why) -> asio::awaitable<bool>
{
    const auto askedAt = boot_clock::now();
    const auto listed = co_await m_client.list(std::string(platform::configurationKind), why);
    if (!listed) {
        co_return false;
    }
    onAnswer();
    // Where there is none yet, the watch tells of the first.
    for (const auto &object : listed->objects) {
        if (object.name == platform::configurationName && applyConfiguration(object)) {
            m_state.keys.noteValidation(askedAt);
        }
    }
    m_configurationSeen = std::max(m_configurationSeen, listed->revision);
    co_return true;
}

/// Takes over a configuration; false where it cannot be read.
auto platform_feed::applyConfiguration(const stored_object &object) -> bool
{
    auto why = last_reason();
    auto content = platform::decodeConfiguration(object.value, why);
    m_hasNewest = content.has_value();
    if (!content) {
        log_line(log_level::error, "configuration_unreadable")
            .with("revision", object.revision)
            .with("reason", why.text());
        return false;
    }
    if (object.revision <= m_configurationRevision) {
        return true; // An older answer that came late.
    }
    m_configurationRevision = object.revision;
    const auto before = m_state.routes ? m_state.routes->version() : 0;
    m_state.routes = std::make_shared<const route_table>(std::move(*content));
    log_line(log_level::info, "configuration")
        .with("version", m_state.routes->version())
        .with("before", before)
        .with("revision", object.revision)
        .with("routes", m_state.routes->routeCount())
        .with("keys", m_state.routes->keyCount());
    m_listening.onRoutes();
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
    co_await follow(platform::serverKind, list, onEvent, m_serversSeen);
}

auto platform_feed::onServerEvent(const watch_event &event) -> void
{
    onAnswer();
    m_serversSeen = std::max(m_serversSeen, event.revision);
    if (event.kind != watch_event_kind::bookmark) {
        applyServer({ .object = event.object, .removed = event.kind == watch_event_kind::remove });
        m_serversChanged = true;
        return;
    }
    m_servers.reach(event.revision);
    if (std::exchange(m_serversChanged, false)) {
        m_listening.onNews();
    }
}

auto platform_feed::listServers(last_reason &why) -> asio::awaitable<bool>
{
    const auto listed = co_await m_client.list(std::string(platform::serverKind), why);
    if (!listed) {
        co_return false;
    }
    onAnswer();
    auto servers = std::vector<listed_server>();
    for (const auto &object : listed->objects) {
        auto reason = last_reason();
        if (auto server = platform::decodeServer(object, reason)) {
            servers.push_back(std::move(*server));
        } else {
            log_line(log_level::warning, "server_unreadable").with("server", object.name).with("reason", reason.text());
        }
    }
    m_state.servers.replaceAll(std::move(servers), system_clock_source().now());
    m_state.hasServers = true;
    m_servers.restart(listed->revision);
    m_serversSeen = listed->revision;
    m_listening.onNews();
    co_return true;
}

auto platform_feed::applyServer(const server_change &change) -> void
{
    if (change.object.revision <= m_servers.revision()) {
        return; // Known by another way.
    }
    const auto now = system_clock_source().now();
    m_servers.add(change);
    if (change.removed) {
        m_state.servers.remove(change.object.name, now);
        return;
    }
    auto why = last_reason();
    if (auto server = platform::decodeServer(change.object, why)) {
        m_state.servers.put(std::move(*server), now);
    } else {
        log_line(log_level::warning, "server_unreadable").with("server", change.object.name).with("reason", why.text());
        m_state.servers.remove(change.object.name, now);
    }
}

auto platform_feed::serversRevision() const -> std::uint64_t
{
    return m_servers.revision();
}

auto platform_feed::newsSince(std::uint64_t serversRevision) const -> store_news
{
    auto news = store_news();
    const auto age = m_state.keys.age(boot_clock::now());
    if (m_hasNewest && m_state.keys.isFresh(boot_clock::now())) {
        // Rounded up, so that the proof never looks newer than it is.
        news.proofAge = std::chrono::ceil<std::chrono::milliseconds>(age);
    }
    news.configurationRevision = m_configurationRevision;
    auto changes = m_servers.since(serversRevision, CHANGES_PER_NEWS);
    news.serversAfter = changes ? serversRevision : m_servers.revision();
    news.serversRevision = m_servers.revision();
    if (changes && changes->size() == CHANGES_PER_NEWS) {
        news.serversRevision = changes->back().object.revision;
    }
    if (changes) {
        news.changes = std::move(*changes);
    }
    news.storeLost = m_storeLost;
    news.renewalLeft = m_state.servers.renewalLeft(system_clock_source().now());
    return news;
}

auto platform_feed::take(const store_news &news, std::optional<boot_time> askedAt) -> bool
{
    if (m_watching) {
        // The store itself is asked; the news only show whether it has to be.
        return !news.storeLost && news.configurationRevision >= m_configurationRevision;
    }
    const auto now = system_clock_source().now();
    if (news.storeLost) {
        auto why = last_reason();
        why.fail(failure_kind::unavailable, "ask watcher", "platform", "it gets no answer");
        onFailure(why);
        return false;
    }
    onAnswer();
    m_state.servers.expectRenewals(now + news.renewalLeft);
    const auto knowsServers = m_state.hasServers && news.serversAfter <= m_servers.revision();
    if (knowsServers) {
        for (const auto &change : news.changes) {
            applyServer(change);
        }
        m_servers.reach(news.serversRevision);
        m_serversSeen = std::max(m_serversSeen, news.serversRevision);
    }
    const auto isNewest = news.configurationRevision <= m_configurationRevision;
    if (isNewest && m_hasNewest && news.proofAge && askedAt) {
        m_state.keys.noteValidation(*askedAt - *news.proofAge);
    }
    m_wantsServers = m_wantsServers || (!knowsServers && news.serversRevision > 0);
    m_wantsConfiguration = m_wantsConfiguration || !isNewest;
    if ((m_wantsServers || m_wantsConfiguration) && !m_refreshing) {
        asio::co_spawn(
            m_executor, [this] { return refresh(); }, asio::detached);
    }
    return knowsServers && isNewest;
}

/// Reads once from the store what the news of others do not carry; the next news begin another try.
auto platform_feed::refresh() -> asio::awaitable<void>
{
    m_refreshing = true;
    auto why = last_reason();
    if (std::exchange(m_wantsConfiguration, false) && !co_await listConfiguration(why)) {
        log_line(log_level::warning, "refresh_failed").with("reason", why.text());
    }
    if (std::exchange(m_wantsServers, false) && !co_await listServers(why)) {
        log_line(log_level::warning, "refresh_failed").with("reason", why.text());
    }
    m_refreshing = false;
}

auto platform_feed::tick(time_point now) -> void
{
    if (m_watching && !m_storeLost && now - m_lastAnswer > SILENCE_LIMIT) {
        auto why = last_reason();
        why.fail(failure_kind::unavailable, "watch", "platform", "no answer");
        onFailure(why);
    }
    m_state.servers.tick(now);
}

auto platform_feed::onAnswer() -> void
{
    m_lastAnswer = system_clock_source().now();
    if (m_storeLost) {
        m_storeLost = false;
        m_answerGate.cancel();
        m_state.servers.onStoreRegained(m_lastAnswer);
        log_line(log_level::info, "store_regained").with("address", "platform");
    }
}

auto platform_feed::onFailure(const last_reason &why) -> void
{
    if (!m_storeLost) {
        m_storeLost = true;
        m_state.servers.onStoreLost();
        log_line(log_level::warning, "store_lost").with("reason", why.text());
    }
}

} // namespace marjoramloom
