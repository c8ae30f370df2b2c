#include "marjoramloom/gateway/traffic/gateway_process.h"

#include "marjoramloom/core/event_loop.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/knowledge/evacuation_feed.h"
#include "marjoramloom/gateway/knowledge/load_exchange.h"
#include "marjoramloom/gateway/knowledge/platform_feed.h"
#include "marjoramloom/gateway/knowledge/router_discovery.h"
#include "marjoramloom/gateway/knowledge/store_relay.h"
#include "marjoramloom/gateway/traffic/caller_intake.h"
#include "marjoramloom/gateway/traffic/gateway_handler.h"
#include "marjoramloom/gateway/traffic/places_status.h"
#include "marjoramloom/gateway/traffic/rotation.h"
#include "marjoramloom/gateway/traffic/status_handler.h"
#include "marjoramloom/peer/member.h"
#include "marjoramloom/router/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <malloc.h>
#include <random>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr auto tickPeriod = std::chrono::milliseconds(200);
/// The load balancer checks the readiness once a second and removes a router after two failed checks, so new
/// connections may come for this long after the stop signal.
constexpr auto acceptTimeAfterStop = std::chrono::milliseconds(2'600);
constexpr auto drainPollPeriod = std::chrono::milliseconds(50);
/// The process exits this long before it would be killed.
constexpr auto gracePeriodMargin = std::chrono::milliseconds(300);

/// Each long poll that ends without a change validates the keys. Several fit into the keys' lifetime, so that one may
/// be lost.
constexpr auto validationsPerLifetime = 3;
/// Time that the store may take to answer beyond the requested wait.
constexpr auto maxAnswerDelay = std::chrono::milliseconds(700);

auto storeOptions(const settings &config) -> store_options
{
    auto options = store_options();
    options.addresses = config.platform;
    options.timeout = config.platformTimeout;
    options.watchPollWait =
        std::min(platform_feed::MAX_POLL_WAIT, config.gateway->keyLifetime / validationsPerLifetime);
    options.reconnectsWatches = false;
    options.watchTimeout = options.watchPollWait + maxAnswerDelay;
    return options;
}

auto identityOf(const settings &config) -> router_identity
{
    return { .address = config.peersAddress.empty() ? config.peersListen : config.peersAddress,
             .dataCentre = config.dataCentre,
             .cores = config.gateway->cores,
             .region = config.region };
}

/// Sets up the allocator so that the memory of bodies and answers returns to the system as soon as it is freed. By
/// default, the size from which blocks are mapped grows with the blocks that are freed.
auto releaseFreedMemory() -> void
{
#ifdef __GLIBC__
    constexpr auto mappedBytes = 128 << 10;
    constexpr auto keptFreeBytes = 1 << 20;
    mallopt(M_MMAP_THRESHOLD, mappedBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
#endif
}

} // namespace

/// All components of the process, in the order of their dependencies.
struct gateway_process::components
{
    explicit components(settings initialSettings);

    /// Joins the fleet of routers and keeps discovering others. Does not return.
    auto join() -> asio::awaitable<void>;
    auto tickLoop() -> asio::awaitable<void>;
    auto waitForStop() -> asio::awaitable<void>;
    auto waitForReload() -> asio::awaitable<void>;
    auto reload() -> void;
    /// Stops accepting connections and waits for running requests, up to the grace period.
    auto drain() -> asio::awaitable<void>;
    auto refreshReadiness() -> void;
    auto applyRelayedEvacuations(std::optional<evacuation_set> relayed) -> void;

    settings config;
    counter_registry counters;
    memory_budget memory; ///< Outlives the connections, which the context owns.
    asio::io_context context{ 1 };
    bool ready = false;
    gateway_state state;
    store_client store;
    load_exchange exchange;
    router_discovery discovery;
    rotation connectionRotation;
    gateway_handler callerHandler;
    request_explainer explainer;
    status_handler statusHandler;
    caller_intake intake;
    std::shared_ptr<http_server<status_handler>> statusServer;
    platform_feed feed;
    store_relay relay;
    std::unique_ptr<store_client> evacuationStore; ///< Null where data centres are not evacuated.
    std::unique_ptr<evacuation_feed> evacuationFeed; ///< Null where data centres are not evacuated.
};

gateway_process::components::components(settings initialSettings)
    : config(std::move(initialSettings))
    , memory(memory_budget::limitFor(config.gateway->memoryMegabytes), counters)
    , state(*config.gateway, identityOf(config), counters, std::random_device()())
    , store(context.get_executor(), storeOptions(config), counters)
    , exchange(context.get_executor(), state, identityOf(config), makeIncarnation())
    , discovery(context.get_executor(), store, state, config.instance, identityOf(config),
                [this](router_identity identity) { exchange.addRouter(std::move(identity)); })
    , connectionRotation(context.get_executor(), state,
                         [this](auto router, const auto &reports) { exchange.sendUses(router, reports); })
    , callerHandler(state, exchange.dispatch(), exchange.streams())
    , explainer(state, exchange.dispatch())
    , statusHandler(
          ready, counters, [this] { return placesStatus(state); }, explainer, config.operatorKeyHash)
    , intake(context, state, callerHandler, memory, connectionRotation)
    , statusServer(std::make_shared<http_server<status_handler>>(context, statusHandler, counters, "operators",
                                                                 http_limits(), session_concurrency::singleThread))
    , feed(context.get_executor(), store, state,
           { .onRoutes = [this] { intake.updateLimits(); },
             .onStoreChange =
                 [this] {
                     relay.notifyFollowers();
                 } })
    , relay(context.get_executor(), feed, state,
            { .query = [this](auto router, const auto &query) { exchange.sendStoreQuery(router, query); },
              .update =
                  [this](auto router, const auto &update) {
                      exchange.sendStoreUpdate(router, update);
                  } })
{
    exchange.setStoreHandlers({ .onQuery = [this](auto router, const auto &query) { relay.onQuery(router, query); },
                                .onUpdate =
                                    [this](const auto &update) {
                                        applyRelayedEvacuations(update.evacuations);
                                        relay.onUpdate(update);
                                    },
                                .onEvacuations =
                                    [this](evacuation_set evacuations) {
                                        applyRelayedEvacuations(std::move(evacuations));
                                    } });
    if (const auto limit = config.gateway->evacuationLimit; limit > std::chrono::milliseconds(0)) {
        evacuationStore = std::make_unique<store_client>(
            context.get_executor(), evacuation_feed::storeOptions(storeOptions(config), limit), counters);
        evacuationFeed = std::make_unique<evacuation_feed>(
            context.get_executor(), *evacuationStore, state,
            evacuation_feed::hooks{ .isWatching = [this] { return feed.isWatching(); },
                                    .isStoreLost = [this] { return feed.isStoreLost(); },
                                    .onStoreChange =
                                        [this] {
                                            relay.notifyFollowers();
                                        } });
    }
    exchange.setUseHandler(
        [this](const auto &reports) { connectionRotation.handleReports(reports, system_clock_source().now()); });
    releaseFreedMemory();
    counters.setGauge("marjoramloom_log_lines_dropped", "", [] { return static_cast<double>(droppedLogLines()); });
}

auto gateway_process::components::applyRelayedEvacuations(std::optional<evacuation_set> relayed) -> void
{
    if (evacuationFeed && relayed) {
        evacuationFeed->applyRelayed(std::move(*relayed));
    }
}

auto gateway_process::components::refreshReadiness() -> void
{
    const auto areKeysFresh = state.keys.isFresh(boot_clock::now());
    const auto now = system_clock_source().now();
    const auto isConfigured = state.routes && state.hasServers && state.areEvacuationsKnown();
    const auto isAvailable = isConfigured && !state.stopping && areKeysFresh;
    connectionRotation.setAvailable(isAvailable, now);
    const auto isLoopDelayed =
        state.settings.sharedRotation ? connectionRotation.isAbsent() : state.loopDelay.shouldRefuseConnections(now);
    const auto isReady = isAvailable && !isLoopDelayed;
    if (isReady != ready) {
        log_line(log_level::info, "readiness")
            .with("ready", isReady ? "yes" : "no")
            .with("configured", isConfigured ? "yes" : "no")
            .with("keys", areKeysFresh ? "proved" : "not proved")
            .with("behind", isLoopDelayed ? "yes" : "no")
            .with("stopping", state.stopping ? "yes" : "no");
    }
    ready = isReady;
}

auto gateway_process::components::join() -> asio::awaitable<void>
{
    co_await discovery.join();
    state.roster.noteComplete();
    relay.noteRoutersKnown();
    log_line(log_level::info, "joined").with("routers", state.roster.size());
    co_await discovery.pollRouters();
}

auto gateway_process::components::tickLoop() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(context);
    while (true) {
        timer.expires_after(tickPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        feed.tick(system_clock_source().now());
        state.tick(system_clock_source().now());
        if (evacuationFeed) {
            evacuationFeed->tick();
        }
        refreshReadiness();
        flushLog();
    }
}

auto gateway_process::components::waitForStop() -> asio::awaitable<void>
{
    auto signals = asio::signal_set(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await drain();
    context.stop();
}

auto gateway_process::components::waitForReload() -> asio::awaitable<void>
{
    auto signals = asio::signal_set(context, SIGHUP);
    while (true) {
        co_await signals.async_wait(asio::use_awaitable);
        reload();
    }
}

/// Reads the settings file again and applies the gateway settings. Changed listening addresses or platform addresses
/// take effect only after a restart.
auto gateway_process::components::reload() -> void
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
    // Whether evacuations are read is decided at the start.
    const auto evacuationLimit = config.gateway->evacuationLimit;
    config.gateway = next->gateway;
    config.gateway->evacuationLimit = evacuationLimit;
    state.applySettings(*config.gateway);
    memory.setLimit(memory_budget::limitFor(next->gateway->memoryMegabytes));
    log_line(log_level::info, "reload").with("outcome", needsRestart ? "taken over but for addresses" : "taken over");
}

auto gateway_process::components::drain() -> asio::awaitable<void>
{
    const auto deadline = system_clock_source().now() + config.gateway->gracePeriod - gracePeriodMargin;
    log_line(log_level::info, "stop_begins").with("running", state.running);
    state.stopping = true;
    refreshReadiness();
    runTask(context.get_executor(), "unregister", counters, [this] { return discovery.unregister(); });
    auto timer = asio::steady_timer(context, acceptTimeAfterStop);
    co_await timer.async_wait(asio::use_awaitable);
    // Requests that arrive from now on might not finish before the process is killed.
    state.rejectingRequests = true;
    intake.stopAccepting();
    while (intake.connections() > 0 && system_clock_source().now() < deadline) {
        timer.expires_after(drainPollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    exchange.announceStop();
    log_line(log_level::info, "stop_ends").with("unfinished", state.running).with("connections", intake.connections());
}

gateway_process::gateway_process(settings config)
    : m_components(std::make_unique<components>(std::move(config)))
{
    assert(m_components->config.gateway);
}

gateway_process::~gateway_process() = default;

auto gateway_process::start(last_reason &why) -> bool
{
    const auto &config = m_components->config;
    if (!m_components->exchange.listen(config.peersListen, why)
        || !m_components->statusServer->listen(config.operatorsListen, why)
        || !m_components->intake.listen(config.callersListen, config.peersListen, why)) {
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
    auto &components = *m_components;
    const auto executor = components.context.get_executor();
    const auto runAlways = [&](std::string name, std::function<asio::awaitable<void>()> task) {
        runTask(executor, std::move(name), components.counters, std::move(task));
    };
    runAlways("configuration", [&components] { return components.feed.followConfiguration(); });
    runAlways("servers", [&components] { return components.feed.followServers(); });
    if (components.evacuationFeed) {
        runAlways("evacuations", [&components] { return components.evacuationFeed->follow(); });
    }
    runAlways("discovery", [&components] { return components.join(); });
    runAlways("relay", [&components] { return components.relay.run(); });
    runAlways("reports", [&components] { return components.exchange.sendReports(); });
    runAlways("datagrams", [&components] { return components.exchange.receive(); });
    runAlways("ticks", [&components] { return components.tickLoop(); });
    runAlways("rotation", [&components] { return components.connectionRotation.run(); });
    runAlways("tunnels", [&components] { return components.intake.runTunnels(); });
    runAlways("loop delay", [&components] { return components.intake.measureLoopDelay(); });
    runAlways("stop", [&components] { return components.waitForStop(); });
    runAlways("reload", [&components] { return components.waitForReload(); });
    runEventLoop(components.context, components.counters);
    log_line(log_level::info, "stopped").with("instance", components.config.instance);
}

} // namespace marjoramloom
