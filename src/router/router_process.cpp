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

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Longest try to get one configuration change written.
constexpr auto commitLimit = std::chrono::milliseconds(5'000);
/// How long a stopping router still accepts connections, so that the balancer sees that it is not ready.
constexpr auto acceptAfterStop = std::chrono::seconds(1);
/// How often a stopping router looks whether it is done.
constexpr auto drainPoll = std::chrono::milliseconds(50);
/// How long peers are told of a finished router's leaving before its links close.
constexpr auto farewell = std::chrono::milliseconds(200);

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
    limits.membership.suspectAfter = config.heartbeat * 3 / 2; // So that an answer comes within four heartbeats.
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

/// All parts of a router, in the order in which they depend on each other.
struct router_process::parts
{
    explicit parts(settings given);

    auto listen(last_reason &why) -> bool;
    auto publishView(const std::shared_ptr<const configuration> &contracts) -> void;
    auto tickLoop() -> asio::awaitable<void>;
    auto waitForStop() -> asio::awaitable<void>;
    auto drain() -> asio::awaitable<void>;
    auto busy() const -> bool;
    auto refreshReadiness() -> void;
    auto refreshWatcherDuty() -> void;

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

router_process::parts::parts(settings given)
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
    , changes(platform, store, watcher, commitLimit)
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
        const auto *contract = current->findServer(server);
        return contract ? std::optional(contract->address) : std::nullopt;
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
            const auto *contract = current->findAccount(account);
            return contract ? contract->queueLimit : 0;
        },
        config.queueLimit);
    store.addListener([this](const auto &contracts) { publishView(contracts); });
    callerServer =
        std::make_shared<http_server<caller_handler>>(context, callers, counters, "callers", httpLimits(config));
    operatorServer = std::make_shared<http_server<operator_handler>>(context, operatorRequests, counters, "operators",
                                                                     httpLimits(config));
}

auto router_process::parts::publishView(const std::shared_ptr<const configuration> &contracts) -> void
{
    auto next = std::make_shared<const router_view>(contracts);
    view.publish(next);
    asio::post(strand, [this, next] {
        dispatch.setView(next);
        servers.setView(next);
        links.setConfigurationSequence(next->contracts().sequence);
        relay.onApplied(next->contracts().sequence);
    });
}

auto router_process::parts::listen(last_reason &why) -> bool
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

auto router_process::parts::refreshReadiness() -> void
{
    const auto now = !draining && store.isUpToDate();
    if (now != ready) {
        log_line(log_level::info, "readiness").with("ready", now ? "yes" : "no");
    }
    ready = now;
    links.setReady(now);
    links.setPlatformAge(platform.timeSinceLastAnswer());
}

/// The first two routers of the data centre in the duty's order watch the platform; the others hear from them.
auto router_process::parts::refreshWatcherDuty() -> void
{
    constexpr auto watchers = std::size_t(2);
    const auto order = rankRoleCandidates(links.members(), { role_kind::watcher, config.dataCentre, "" });
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(watchers, order.size()));
    compactor.setDesignated(!order.empty() && order.front().incarnation == self.incarnation);
    watcher.setDesignated(std::any_of(order.begin(), end,
                                      [this](const member &holder) { return holder.incarnation == self.incarnation; }));
}

auto router_process::parts::tickLoop() -> asio::awaitable<void>
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
        refreshWatcherDuty();
        refreshReadiness();
        relay.tick(next);
        dispatch.tick(next);
        servers.tick();
        if (++ticks % ticksPerFlush == 0) {
            flushLog();
        }
    }
}

auto router_process::parts::waitForStop() -> asio::awaitable<void>
{
    auto signals = asio::signal_set(strand, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await drain();
    context.stop();
}

auto router_process::parts::busy() const -> bool
{
    return tickets.waitingCount() + tickets.runningCount() + callerServer->connections() + orders.unsettled() > 0;
}

auto router_process::parts::drain() -> asio::awaitable<void>
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
    while (busy() && system_clock_source().now() < deadline) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    timer.expires_after(farewell);
    co_await timer.async_wait(asio::use_awaitable);
    servers.stop();
    links.stop();
    log_line(log_level::info, "stop_ends").with("unfinished", tickets.waitingCount() + tickets.runningCount());
}

router_process::router_process(settings config)
    : m_parts(std::make_unique<parts>(std::move(config)))
{
}

router_process::~router_process() = default;

auto router_process::start(last_reason &why) -> bool
{
    // The parts of the decision strand are set up before any thread runs.
    return m_parts->listen(why);
}

auto router_process::run() -> void
{
    auto &all = *m_parts;
    asio::co_spawn(
        all.strand, [&all] { return all.tickLoop(); }, asio::detached);
    asio::co_spawn(
        all.strand, [&all] { return all.waitForStop(); }, asio::detached);
    asio::co_spawn(
        all.strand, [&all] { return all.servers.pollInstances(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.watcher.run(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.compactor.run(); }, asio::detached);
    asio::co_spawn(
        all.context, [&all] { return all.orders.run(); }, asio::detached);
    auto threads = std::vector<std::thread>();
    for (auto index = std::uint32_t(1); index < all.config.threads; ++index) {
        threads.emplace_back([&all] { all.context.run(); });
    }
    all.context.run();
    for (auto &thread : threads) {
        thread.join();
    }
}

} // namespace marjoramloom
