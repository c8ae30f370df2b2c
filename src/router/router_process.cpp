#include "marjoramloom/router/router_process.h"

#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/call/hedge_policy.h"
#include "marjoramloom/call/retry_budget.h"
#include "marjoramloom/call/start_gate.h"
#include "marjoramloom/contract/configuration_compactor.h"
#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/contract/configuration_watcher.h"
#include "marjoramloom/contract/operator_api.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/event_loop.h"
#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/peer/configuration_relay.h"
#include "marjoramloom/peer/peer_links.h"
#include "marjoramloom/router/caller_handler.h"
#include "marjoramloom/router/dispatch_service.h"
#include "marjoramloom/router/http_server.h"
#include "marjoramloom/router/operator_handler.h"
#include "marjoramloom/router/order_handler.h"
#include "marjoramloom/router/server_watch.h"
#include "marjoramloom/router/status_report.h"
#include "marjoramloom/store/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Maximum time to write one configuration change to the platform.
constexpr auto commitTimeout = std::chrono::milliseconds(5'000);
/// Time for which a stopping router still accepts connections, so that the load balancer detects that it is not ready.
constexpr auto acceptAfterStop = std::chrono::seconds(1);
/// Time between two checks whether a stopping router has finished its requests.
constexpr auto drainPollPeriod = std::chrono::milliseconds(50);
/// Time for which a router that finished its requests still announces to its peers that it leaves, before its links
/// close.
constexpr auto leaveAnnouncementTime = std::chrono::milliseconds(200);

auto memberOf(const settings &config) -> member
{
    auto self = member();
    self.incarnation = makeIncarnation();
    self.instance = config.instance;
    self.dataCentre = config.dataCentre;
    self.region = config.region;
    self.peerAddress = config.peersAddress;
    return self;
}

auto meshSettings(const settings &config) -> peer_mesh_settings
{
    auto limits = peer_mesh_settings();
    limits.heartbeat = config.heartbeat;
    limits.membership.timeout = config.peerTimeout;
    limits.membership.suspectAfter = config.heartbeat * 3 / 2; // Leaves time for an answer within four heartbeats.
    return limits;
}

auto dispatcherSettings(const settings &config) -> dispatcher_settings
{
    auto limits = dispatcher_settings();
    limits.pullThreshold = config.pullThreshold;
    limits.suspendLongWork = config.suspendLongWork;
    return limits;
}

auto platformOptions(const settings &config) -> store_options
{
    auto options = store_options();
    options.addresses = config.platform;
    options.timeout = config.platformTimeout;
    return options;
}

auto httpLimits(const settings &config) -> http_limits
{
    return { .bodyBytes = config.bodyLimitBytes,
             .headerTimeout = config.headerTimeout,
             .idleTimeout = config.idleTimeout };
}

} // namespace

/// All components of a router, in the order of their dependencies.
struct router_process::components
{
    explicit components(settings given);

    auto listen(last_reason &why) -> bool;
    auto publishView(const std::shared_ptr<const configuration> &activeConfig) -> void;
    auto tickLoop() -> asio::awaitable<void>;
    auto waitForStop() -> asio::awaitable<void>;
    auto drain() -> asio::awaitable<void>;
    auto isBusy() const -> bool;
    auto refreshReadiness() -> void;
    auto refreshWatcherRole() -> void;

    settings config;
    asio::io_context context;
    ticket_queue::strand_type strand;
    counter_registry counters;
    member self;
    std::atomic<bool> ready = false;
    std::atomic<bool> draining = false;

    rcu_cell<router_view> view;
    store_client platform;
    configuration_store store;
    configuration_watcher<store_client> watcher;
    configuration_compactor<store_client> compactor;
    peer_links links;
    configuration_relay<peer_links> relay;
    ticket_queue tickets;
    dispatch_service dispatch;
    start_gate gate;
    server_watch servers;

    connection_pool connections;
    retry_budget retries;
    hedge_policy hedges;
    call_environment calls;
    request_context requests;
    order_handler orders;
    caller_handler callers;
    status_report status;
    change_log<store_client> changes;
    operator_api<store_client> operators;
    operator_handler operatorRequests;
    std::shared_ptr<http_server<caller_handler>> callerServer;
    std::shared_ptr<http_server<operator_handler>> operatorServer;
};

router_process::components::components(settings given)
    : config(std::move(given))
    , context(static_cast<int>(config.threads))
    , strand(asio::make_strand(asio::any_io_executor(context.get_executor())))
    , self(memberOf(config))
    , view(std::make_shared<const router_view>(std::make_shared<const configuration>()))
    , platform(context.get_executor(), platformOptions(config), counters)
    , store(counters)
    , watcher(platform, store, self.incarnation)
    , compactor(platform, store, {})
    , links(strand, self, meshSettings(config), counters)
    , relay(links, store)
    , tickets(strand, self.incarnation, counters)
    , dispatch(strand, config.dataCentre, dispatcherSettings(config), links, tickets, counters)
    , servers(strand, platform, dispatch, tickets, links, gate)
    , retries(config.retryBudget, self.incarnation)
    , hedges(config.hedgeBudget)
    , requests{ config, view, tickets, calls, counters, ready }
    , orders(requests, platform, self, counters)
    , callers(requests, orders)
    , status(strand, links, store, dispatch, tickets)
    , changes(platform, store, watcher, commitTimeout)
    , operators(store, changes)
    , operatorRequests(operators, counters, ready, config.operatorKeyHash)
{
    operators.addGetHandler("/v1/status", [this] { return status.json(); });
    operators.addGetHandler("/v1/orders", [this] { return orders.openOrders(); });
    calls.dataCentre = config.dataCentre;
    calls.connections = &connections;
    calls.retries = &retries;
    calls.hedges = &hedges;
    calls.gate = &gate;
    calls.addressOf = [this](object_id server) -> std::optional<std::string> {
        const auto current = view.read();
        const auto *entry = current->findServer(server);
        return entry ? std::optional(entry->address) : std::nullopt;
    };
    calls.onPace = [this](const pace_sample &sample) {
        dispatch.observePace(sample);
    };
    calls.onLeaving = [this](object_id server) {
        servers.noteLeaving(server);
    };
    tickets.setPort(dispatch.port());
    tickets.setLimits(
        [this](object_id account) {
            const auto current = view.read();
            const auto *entry = current->findAccount(account);
            return entry ? entry->queueLimit : 0;
        },
        config.queueLimit);
    store.addListener([this](const auto &activeConfig) { publishView(activeConfig); });
    callerServer =
        std::make_shared<http_server<caller_handler>>(context, callers, counters, "callers", httpLimits(config));
    operatorServer = std::make_shared<http_server<operator_handler>>(context, operatorRequests, counters, "operators",
                                                                     httpLimits(config));
}

auto router_process::components::publishView(const std::shared_ptr<const configuration> &activeConfig) -> void
{
    auto next = std::make_shared<const router_view>(activeConfig);
    view.publish(next);
    asio::post(strand, [this, next] {
        dispatch.setView(next);
        servers.setView(next);
        links.setConfigurationSequence(next->config().sequence);
        relay.onApplied(next->config().sequence);
    });
}

auto router_process::components::listen(last_reason &why) -> bool
{
    links.setReceiver([this](incarnation_id from, const wire::Envelope &message) {
        relay.receive(from, message);
        servers.receive(message);
        dispatch.receive(from, message);
    });
    links.setMemberListener([this](const member_event &event) {
        dispatch.onMember(event);
        servers.onMember(event);
    });
    links.setSeeds(config.peers);
    return links.start(config.peersListen, why) && operatorServer->listen(config.operatorsListen, why)
        && callerServer->listen(config.callersListen, why);
}

auto router_process::components::refreshReadiness() -> void
{
    const auto isReady = !draining && store.isUpToDate();
    if (isReady != ready) {
        log_line(log_level::info, "readiness").with("ready", isReady ? "yes" : "no");
    }
    ready = isReady;
    links.setReady(isReady);
    links.setPlatformAge(platform.timeSinceLastAnswer());
}

/// Updates whether this router watches the platform and compacts the configuration. The first two candidates of the
/// data centre's watcher role watch the platform and relay what they read to the others; the first one compacts.
auto router_process::components::refreshWatcherRole() -> void
{
    constexpr auto watcherCount = std::size_t(2);
    const auto candidates = rankRoleCandidates(links.members(), { role_kind::watcher, config.dataCentre, "" });
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(watcherCount, candidates.size()));
    compactor.setDesignated(!candidates.empty() && candidates.front().incarnation == self.incarnation);
    watcher.setDesignated(std::any_of(candidates.begin(), end, [this](const member &candidate) {
        return candidate.incarnation == self.incarnation;
    }));
}

auto router_process::components::tickLoop() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(strand);
    auto error = boost::system::error_code();
    auto next = system_clock_source().now();
    constexpr auto ticksPerFlush = std::uint64_t(4);
    auto ticks = std::uint64_t(0);
    while (true) {
        next = std::max(next + dispatch_service::tickPeriod, system_clock_source().now());
        timer.expires_at(next);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        refreshWatcherRole();
        refreshReadiness();
        relay.tick(next);
        dispatch.tick(next);
        servers.tick();
        if (++ticks % ticksPerFlush == 0) {
            flushLog();
        }
    }
}

auto router_process::components::waitForStop() -> asio::awaitable<void>
{
    auto signals = asio::signal_set(strand, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await drain();
    context.stop();
}

auto router_process::components::isBusy() const -> bool
{
    return tickets.waitingCount() + tickets.runningCount() + callerServer->connections() + orders.unsettled() > 0;
}

auto router_process::components::drain() -> asio::awaitable<void>
{
    log_line(log_level::info, "stop_begins").with("waiting", tickets.waitingCount());
    draining = true;
    refreshReadiness();
    links.setLeaving(true);
    auto timer = asio::steady_timer(strand, acceptAfterStop);
    co_await timer.async_wait(asio::use_awaitable);
    callerServer->stopAccepting();
    operatorServer->stopAccepting();
    const auto deadline = system_clock_source().now() + config.drainLimit;
    while (isBusy() && system_clock_source().now() < deadline) {
        timer.expires_after(drainPollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    timer.expires_after(leaveAnnouncementTime);
    co_await timer.async_wait(asio::use_awaitable);
    servers.stop();
    links.stop();
    log_line(log_level::info, "stop_ends").with("unfinished", tickets.waitingCount() + tickets.runningCount());
}

router_process::router_process(settings config)
    : m_components(std::make_unique<components>(std::move(config)))
{
}

router_process::~router_process() = default;

auto router_process::start(last_reason &why) -> bool
{
    // No thread runs yet, so that components that belong to the decision strand can be set up here.
    return m_components->listen(why);
}

auto router_process::run() -> void
{
    auto &all = *m_components;
    const auto executor = all.context.get_executor();
    runTask(all.strand, "ticks", all.counters, [&all] { return all.tickLoop(); });
    runTask(all.strand, "stop", all.counters, [&all] { return all.waitForStop(); });
    runTask(all.strand, "instances", all.counters, [&all] { return all.servers.pollInstances(); });
    runTask(executor, "configuration", all.counters, [&all] { return all.watcher.run(); });
    runTask(executor, "compaction", all.counters, [&all] { return all.compactor.run(); });
    runTask(executor, "orders", all.counters, [&all] { return all.orders.run(); });
    auto threads = std::vector<std::thread>();
    for (auto index = std::uint32_t(1); index < all.config.threads; ++index) {
        threads.emplace_back([&all] { runEventLoop(all.context, all.counters); });
    }
    runEventLoop(all.context, all.counters);
    for (auto &thread : threads) {
        thread.join();
    }
}

} // namespace marjoramloom
