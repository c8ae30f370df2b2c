#include "marjoramloom/gateway/platform_feed.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/store/retry_backoff.h"
#include "platform/configuration_format.h"
#include "platform/server_format.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Waits between reads of a list that fail.
constexpr auto listRetryFirst = std::chrono::milliseconds(100);
constexpr auto listRetryLimit = std::chrono::milliseconds(800);

auto pause(retry_backoff &backoff) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, backoff.next());
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

platform_feed::platform_feed(store_client &client, gateway_state &state, std::function<void()> onRoutes)
    : m_client(client)
    , m_state(state)
    , m_onRoutes(std::move(onRoutes))
    , m_lastAnswer(system_clock_source().now())
{
}

/// Lists a kind by \p list and watches it from there on, again and again.
template<typename List>
auto platform_feed::follow(std::string_view kind, List list, watch_callback onEvent) -> asio::awaitable<void>
{
    auto backoff = retry_backoff(listRetryFirst, listRetryLimit, m_state.random());
    while (true) {
        auto why = last_reason();
        const auto revision = co_await list(why);
        if (!revision) {
            onFailure(why);
            co_await pause(backoff);
            continue;
        }
        backoff.reset();
        auto kinds = std::vector<std::string>(1, std::string(kind));
        co_await m_client.watch(std::move(kinds), *revision, onEvent);
    }
}

auto platform_feed::followConfiguration() -> asio::awaitable<void>
{
    const auto list = [this](last_reason &why) {
        return listConfiguration(why);
    };
    const auto onEvent = watch_callback([this](const watch_event &event) {
        onAnswer();
        if (event.kind == watch_event_kind::put && event.object.name == platform::configurationName) {
            applyConfiguration(event.object);
        }
        if (event.kind == watch_event_kind::bookmark && m_hasNewest) {
            m_state.keys.noteProof(event.askedAt);
        }
        return true;
    });
    co_await follow(platform::configurationKind, list, onEvent);
}

auto platform_feed::listConfiguration(last_reason &why) -> asio::awaitable<std::optional<std::uint64_t>>
{
    const auto askedAt = boot_clock::now();
    const auto listed = co_await m_client.list(std::string(platform::configurationKind), why);
    if (!listed) {
        co_return std::nullopt;
    }
    onAnswer();
    // Where there is none yet, the watch tells of the first.
    for (const auto &object : listed->objects) {
        if (object.name == platform::configurationName && applyConfiguration(object)) {
            m_state.keys.noteProof(askedAt);
        }
    }
    co_return listed->revision;
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
    m_onRoutes();
    return true;
}

auto platform_feed::followServers() -> asio::awaitable<void>
{
    const auto list = [this](last_reason &why) {
        return listServers(why);
    };
    const auto onEvent = watch_callback([this](const watch_event &event) {
        onAnswer();
        if (event.kind != watch_event_kind::bookmark) {
            applyServer(event);
        }
        return true;
    });
    co_await follow(platform::serverKind, list, onEvent);
}

auto platform_feed::listServers(last_reason &why) -> asio::awaitable<std::optional<std::uint64_t>>
{
    const auto listed = co_await m_client.list(std::string(platform::serverKind), why);
    if (!listed) {
        co_return std::nullopt;
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
    co_return listed->revision;
}

auto platform_feed::applyServer(const watch_event &event) -> void
{
    const auto now = system_clock_source().now();
    if (event.kind == watch_event_kind::remove) {
        m_state.servers.remove(event.object.name, now);
        return;
    }
    auto why = last_reason();
    if (auto server = platform::decodeServer(event.object, why)) {
        m_state.servers.put(std::move(*server), now);
    } else {
        log_line(log_level::warning, "server_unreadable").with("server", event.object.name).with("reason", why.text());
        m_state.servers.remove(event.object.name, now);
    }
}

auto platform_feed::tick(time_point now) -> void
{
    if (!m_storeLost && now - m_lastAnswer > SILENCE_LIMIT) {
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
