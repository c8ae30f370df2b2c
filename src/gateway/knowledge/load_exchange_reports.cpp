// Reports of this router's load: when they are sent, to whom, and what they say.
#include "marjoramloom/gateway/knowledge/load_exchange.h"

#include "datagram_codec.h"
#include "grant_reports.h"
#include "marjoramloom/core/hash.h"
#include "places_exchange.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// In fleets of up to this size, each router reports its load to all others.
constexpr std::size_t maxFullMeshRouters = 12;
/// Engines prefill about 50 tokens a millisecond, so a report is stale by a few prompts.
constexpr auto fullMeshReportPeriod = std::chrono::milliseconds(60);
/// Longer where only dispatchers get reports, as these know their own placements without them.
constexpr auto dispatcherReportPeriod = std::chrono::milliseconds(120);
/// Idle routers still report this often, so that the others know that they are alive.
constexpr auto idleReportPeriod = std::chrono::milliseconds(240);
/// Time between two reports to a silent dispatcher, which answers once it is back.
constexpr auto probePeriod = std::chrono::milliseconds(1'000);
/// Silent dispatchers of a shard that are probed.
constexpr std::size_t maxProbedDispatchers = 3;
/// Servers in a report that stated that they leave.
constexpr std::size_t maxLeavingServers = 64;

} // namespace

auto load_exchange::isFullMesh() const -> bool
{
    return m_state.roster.size() <= maxFullMeshRouters;
}

auto load_exchange::sendReports() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto lastSent = time_point();
    auto wasBusy = false;
    while (true) {
        timer.expires_after(isFullMesh() ? fullMeshReportPeriod : dispatcherReportPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = system_clock_source().now();
        m_streams.tick(now);
        const auto isBusy = m_state.running > 0 || !m_state.unreportedPrefills.empty();
        if (!isBusy && !wasBusy && now - lastSent < idleReportPeriod) {
            continue;
        }
        wasBusy = isBusy;
        lastSent = now;
        if (isFullMesh()) {
            reportToAll(now);
        } else {
            reportToDispatchers(now);
        }
        m_state.unreportedPrefills.clear();
    }
}

auto load_exchange::report_scope::contains(const listed_server &server) const -> bool
{
    return shards.empty() || std::any_of(shards.begin(), shards.end(), [&](const auto &shard) {
               return shard.first == server.service && shard.second.contains(server.id);
           });
}

auto load_exchange::reportToAll(time_point now) -> void
{
    auto report = makeReport({});
    for (const auto router : m_state.roster.others()) {
        m_state.roster.noteRequestSent(router, now);
        send(router, report);
    }
}

/// Reports to each dispatcher the loads of the engines in its shards.
auto load_exchange::reportToDispatchers(time_point now) -> void
{
    if (!m_state.routes) {
        return;
    }
    auto scopes = std::unordered_map<std::uint64_t, report_scope>();
    for (const auto &service : m_state.routes->services()) {
        const auto count = shardCount(m_state.servers.usable(service.name).size());
        for (auto index = std::uint32_t(0); index < count; ++index) {
            const auto shard = engine_shard{ .index = index, .count = count };
            probeSilentDispatchers(service.name, shard, now);
            const auto dispatcher = m_dispatch.dispatcherOf(service.name, index, now);
            if (dispatcher != m_state.roster.self()) {
                scopes[dispatcher].recipient = dispatcher;
                scopes[dispatcher].shards.emplace_back(service.name, shard);
            }
        }
    }
    for (const auto &[dispatcher, scope] : scopes) {
        m_state.roster.noteRequestSent(dispatcher, now);
        auto report = makeReport(scope);
        send(dispatcher, report);
    }
}

auto load_exchange::probeSilentDispatchers(const std::string &service, const engine_shard &shard, time_point now)
    -> void
{
    const auto &order = m_state.roster.dispatchOrder(hash64(service), shard.index);
    for (auto index = std::size_t(0); index < std::min(order.size(), maxProbedDispatchers); ++index) {
        const auto router = order[index];
        if (m_state.roster.isResponsive(router, now)) {
            break;
        }
        auto &last = m_lastProbeSent[router];
        if (now - last >= probePeriod) {
            last = now;
            auto report = makeReport({ .shards = { { service, shard } }, .recipient = router });
            send(router, report);
        }
    }
}

auto load_exchange::makeReport(const report_scope &scope) -> wire::RouterDatagram
{
    auto datagram = wire::RouterDatagram();
    write(m_self, *datagram.mutable_identity());
    auto &report = *datagram.mutable_report();
    report.set_sequence(++m_reportSequence);
    for (const auto &[run, load] : m_state.loads.all()) {
        if (load.running == 0) {
            continue;
        }
        const auto server = scope.shards.empty() ? nullptr : m_state.servers.findUsable(run);
        if (scope.shards.empty() || (server && scope.contains(*server))) {
            auto *engine = report.add_engines();
            engine->set_server(run);
            engine->set_running(load.running);
            engine->set_unread_tokens(static_cast<std::uint32_t>(load.pendingPrefillTokens));
            engine->set_committed_tokens(static_cast<std::uint32_t>(load.committedTokens));
        }
    }
    for (const auto &share : m_state.accounts.localAccountTokens(system_clock_source().now())) {
        auto *account = report.add_accounts();
        account->set_account(share.account);
        account->set_started_tokens(share.startedTokens);
    }
    if (scope.shards.empty()) {
        for (const auto &prefill : m_state.unreportedPrefills) {
            write(prefill, *report.add_reads());
        }
    }
    for (const auto server : m_state.servers.leavingAheadOfList(maxLeavingServers)) {
        report.add_leaving_servers(server);
    }
    writePlaces(m_state, system_clock_source().now(), datagram);
    for (const auto &[dispatcher, sequence] : m_dispatch.lastSequences()) {
        auto *placementHeard = report.add_heard();
        placementHeard->set_dispatcher(dispatcher);
        placementHeard->set_sequence(sequence);
    }
    writeHeldGrants(m_dispatch.heldGrants(), scope.recipient, *report.mutable_slots());
    writeHeldGrants(m_dispatch.heldMemory(), scope.recipient, *report.mutable_memory());
    return datagram;
}

} // namespace marjoramloom
