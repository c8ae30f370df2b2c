#include "marjoramloom/gateway/gateway_process.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/gateway_handler.h"
#include "marjoramloom/gateway/load_exchange.h"
#include "marjoramloom/gateway/platform_feed.h"
#include "marjoramloom/gateway/router_announcer.h"
#include "marjoramloom/gateway/status_handler.h"
#include "marjoramloom/gateway/store_relay.h"
#include "marjoramloom/peer/member.h"
#include "marjoramloom/router/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <random>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr auto tickPeriod = std::chrono::milliseconds(200);
/// The balancer asks once a second and takes a router out after two misses; new connections come until then.
constexpr auto acceptAfterStop = std::chrono::milliseconds(2'600);
constexpr auto drainPoll = std::chrono::milliseconds(50);
/// The process ends this long before it would be killed.
constexpr auto graceMargin = std::chrono::milliseconds(300);

/// A waiting call of the store that shows no change proves that keys are in force; one may be lost.
constexpr auto proofsPerLifetime = 3;
/// A store that says nothing for longer than this and a slow answer is taken to be away, see platform_feed.
constexpr auto longestWatchWait = std::chrono::milliseconds(1'500);
/// Time that the store may take beyond the wait that it was asked for.
constexpr auto slowestAnswer = std::chrono::milliseconds(700);

auto storeOptions(const settings &config) -> store_options
{
    auto options = store_options();
    options.addresses = config.platform;
    options.timeout = config.platformTimeout;
    options.watchWait = std::min(longestWatchWait, config.gateway->keyLifetime / proofsPerLifetime);
    options.redialsWatches = false;
    options.watchSilence = options.watchWait + slowestAnswer;
    return options;
}

auto identityOf(const settings &config) -> router_identity
{
    return { .address = config.peersAddress.empty() ? config.peersListen : config.peersAddress,
             .dataCentre = config.dataCentre,
             .cores = config.gateway->cores };
}

/// Part of the file descriptors that callers' idle connections may take: a caller with much traffic opens thousands,
/// and each request needs one more, to its backend server.
constexpr auto keptPart = 0.4;

auto httpLimits(const caller_limits &limits, const gateway_settings &settings) -> http_limits
{
    return { .bodyBytes = limits.bodyBytes,
             .headerBytes = limits.headerBytes,
             .headerTimeout = limits.headerTimeout,
             .idleTimeout = limits.idleTimeout,
             .keptConnections = static_cast<std::size_t>(settings.descriptors * keptPart) };
}

} // namespace

/// All parts of the process, in the order in which they depend on each other.
struct gateway_process::parts
{
    explicit parts(settings given);

    auto join() -> asio::awaitable<void>;
    auto tickLoop() -> asio::awaitable<void>;
    auto measureLag() -> asio::awaitable<void>;
    auto waitForStop() -> asio::awaitable<void>;
    auto waitForReload() -> asio::awaitable<void>;
    auto reload() -> void;
    auto drain() -> asio::awaitable<void>;
    auto refreshReadiness() -> void;

    settings config;
    asio::io_context context{ 1 };
    counter_registry counters;
    bool ready = false;
    gateway_state state;
    store_client store;
    load_exchange exchange;
    router_announcer announcer;
    gateway_handler callers;
    status_handler status;
    std::shared_ptr<http_server<gateway_handler>> callerServer;
    std::shared_ptr<http_server<status_handler>> statusServer;
    platform_feed feed;
    store_relay relay;
};

gateway_process::parts::parts(settings given)
    : config(std::move(given))
    , state(*config.gateway, identityOf(config), counters, std::random_device()())
    , store(context.get_executor(), storeOptions(config), counters)
    , exchange(context.get_executor(), state, identityOf(config), makeIncarnation())
    , announcer(context.get_executor(), store, config.instance, identityOf(config),
                [this](router_identity found) { exchange.addRouter(std::move(found)); })
    , callers(state, exchange.dispatch())
    , status(ready, counters)
    , callerServer(std::make_shared<http_server<gateway_handler>>(context, callers, counters, "callers", http_limits(),
                                                                  session_concurrency::oneThread))
    , statusServer(std::make_shared<http_server<status_handler>>(context, status, counters, "operators", http_limits(),
                                                                 session_concurrency::oneThread))
    , feed(context.get_executor(), store, state,
           { .onRoutes = [this] { callerServer->setLimits(httpLimits(state.routes->limits(), state.settings)); },
             .onNews =
                 [this] {
                     relay.tellFollowers();
                 } })
    , relay(context.get_executor(), feed, state,
            { .question = [this](auto router, const auto &question) { exchange.sendStoreQuery(router, question); },
              .news =
                  [this](auto router, const auto &news) {
                      exchange.sendStoreUpdate(router, news);
                  } })
{
    exchange.setStoreHandlers(
        { .onQuestion = [this](auto router, const auto &question) { relay.answer(router, question); },
          .onNews =
              [this](const auto &news) {
                  relay.take(news);
              } });
    callerServer->setGate([this] { return !state.lag.isOverloaded(system_clock_source().now()); });
    counters.setGauge("marjoramloom_log_lines_dropped", "", [] { return static_cast<double>(droppedLogLines()); });
}

auto gateway_process::parts::refreshReadiness() -> void
{
    const auto holdsKeys = state.keys.isFresh(boot_clock::now());
    const auto isBehind = state.lag.shouldRefuseConnections(system_clock_source().now());
    const auto now = state.routes && state.hasServers && !state.stopping && holdsKeys && !isBehind;
    if (now != ready) {
        log_line(log_level::info, "readiness")
            .with("ready", now ? "yes" : "no")
            .with("configured", state.routes && state.hasServers ? "yes" : "no")
            .with("keys", holdsKeys ? "proved" : "not proved")
            .with("behind", isBehind ? "yes" : "no")
            .with("stopping", state.stopping ? "yes" : "no");
    }
    ready = now;
}

auto gateway_process::parts::join() -> asio::awaitable<void>
{
    co_await announcer.join();
    relay.noteJoined();
    log_line(log_level::info, "joined").with("routers", state.roster.size());
    co_await announcer.lookForOthers();
}

auto gateway_process::parts::tickLoop() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(context);
    while (true) {
        timer.expires_after(tickPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        feed.tick(system_clock_source().now());
        refreshReadiness();
        flushLog();
    }
}

auto gateway_process::parts::measureLag() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(context);
    auto wasOverloaded = false;
    const auto &turnedAway = counters.at("marjoramloom_connections_turned_away_total", "listener=\"callers\"");
    while (true) {
        const auto isOverloaded = state.lag.isOverloaded(system_clock_source().now());
        if (isOverloaded != wasOverloaded) {
            wasOverloaded = isOverloaded;
            log_line(log_level::warning, "overload")
                .with("overloaded", isOverloaded ? "yes" : "no")
                .with("running", state.running)
                .with("connections", callerServer->connections())
                .with("turned_away", turnedAway.value());
        }
        timer.expires_at(state.lag.onTimer(system_clock_source().now()));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto gateway_process::parts::waitForStop() -> asio::awaitable<void>
{
    auto signals = asio::signal_set(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await drain();
    context.stop();
}

auto gateway_process::parts::waitForReload() -> asio::awaitable<void>
{
    auto signals = asio::signal_set(context, SIGHUP);
    while (true) {
        co_await signals.async_wait(asio::use_awaitable);
        reload();
    }
}

/// Reads the settings again. What needs new listeners or another platform waits for a restart.
auto gateway_process::parts::reload() -> void
{
    auto why = last_reason();
    const auto next = loadSettings(config.source, why);
    if (!next || !next->gateway) {
        log_line(log_level::error, "reload").with("outcome", "kept the old settings").with("reason", why.text());
        return;
    }
    const auto needsRestart = next->callersListen != config.callersListen
        || next->operatorsListen != config.operatorsListen || next->peersListen != config.peersListen
        || next->platform != config.platform;
    config.gateway = next->gateway;
    state.applySettings(*next->gateway);
    log_line(log_level::info, "reload").with("outcome", needsRestart ? "taken over but for addresses" : "taken over");
}

auto gateway_process::parts::drain() -> asio::awaitable<void>
{
    const auto deadline = system_clock_source().now() + config.gateway->graceTime - graceMargin;
    log_line(log_level::info, "stop_begins").with("running", state.running);
    state.stopping = true;
    refreshReadiness();
    asio::co_spawn(
        context, [this] { return announcer.withdraw(); }, asio::detached);
    auto timer = asio::steady_timer(context, acceptAfterStop);
    co_await timer.async_wait(asio::use_awaitable);
    // What comes later might not be done before the process is ended.
    state.refusing = true;
    callerServer->stopAccepting();
    while (callerServer->connections() > 0 && system_clock_source().now() < deadline) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    exchange.announceStop();
    log_line(log_level::info, "stop_ends")
        .with("unfinished", state.running)
        .with("connections", callerServer->connections());
}

gateway_process::gateway_process(settings config)
    : m_parts(std::make_unique<parts>(std::move(config)))
{
    assert(m_parts->config.gateway);
}

gateway_process::~gateway_process() = default;

auto gateway_process::start(last_reason &why) -> bool
{
    const auto &config = m_parts->config;
    if (!m_parts->exchange.listen(config.peersListen, why)
        || !m_parts->statusServer->listen(config.operatorsListen, why)
        || !m_parts->callerServer->listen(config.callersListen, why)) {
        return false;
    }
    log_line(log_level::info, "started")
        .with("instance", config.instance)
        .with("data_centre", config.dataCentre)
        .with("callers", config.callersListen)
        .with("platform", config.platform.front());
    return true;
}

auto gateway_process::run() -> void
{
    auto &all = *m_parts;
    asio::co_spawn(
        all.context, [&all] { return all.feed.followConfiguration(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.feed.followServers(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.join(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.relay.run(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.exchange.sendReports(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.exchange.receive(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.tickLoop(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.measureLag(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.waitForStop(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.waitForReload(); }, asio::detached);
    all.context.run();
    log_line(log_level::info, "stopped").with("instance", all.config.instance);
}

} // namespace marjoramloom
