#include "marjoramloom/router/server_watch.h"

#include "marjoramloom/call/load_watch.h"
#include "marjoramloom/call/start_gate.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/peer/peer_links.h"
#include "marjoramloom/peer/relay_plan.h"
#include "marjoramloom/peer/wire_codec.h"
#include "marjoramloom/store/store_client.h"
#include "peer.pb.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Time between two reads of the instance list.
constexpr auto instancePollPeriod = std::chrono::seconds(1);

auto currentUnixMs() -> std::int64_t
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

server_watch::server_watch(strand_type strand, store_client &platform, dispatch_service &dispatch,
                           ticket_queue &tickets, peer_links &links, start_gate &gate)
    : m_strand(std::move(strand))
    , m_platform(platform)
    , m_dispatch(dispatch)
    , m_tickets(tickets)
    , m_links(links)
    , m_gate(gate)
{
    auto handlers = load_watch::callbacks();
    handlers.onReport = [this](const load_report &report) {
        m_dispatch.observeLoad(report);
    };
    handlers.onLeaving = [this](object_id server) {
        noteLeaving(server);
    };
    handlers.onPollFailed = [](object_id, std::uint32_t) {
    };
    m_loadWatch = std::make_shared<load_watch>(m_strand, load_watch_settings(), std::move(handlers));
    m_loadWatch->start();
}

auto server_watch::setView(std::shared_ptr<const router_view> view) -> void
{
    m_view = std::move(view);
    m_calendar.setConfiguration(m_view->config());
    applyStops();
}

auto server_watch::pollInstances() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_strand);
    auto error = boost::system::error_code();
    while (true) {
        auto why = last_reason();
        const auto requestedAt = system_clock_source().now();
        const auto snapshot = co_await m_platform.instances(why);
        if (snapshot) {
            m_links.setListedRouters(snapshot->instances);
            m_calendar.setInstances(snapshot->instances, currentUnixMs());
            applyStops();
        }
        m_gate.markRefreshed(requestedAt);
        timer.expires_after(instancePollPeriod);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

auto server_watch::noteLeaving(object_id server) -> void
{
    asio::post(m_strand, [this, server] { handleNotice({ server, server_state::leaving, currentUnixMs() }, 0); });
}

auto server_watch::receive(const wire::Envelope &message) -> void
{
    auto why = last_reason();
    for (const auto &item : message.notices()) {
        if (const auto notice = decodeNotice(item, std::to_string(message.sender()), why)) {
            handleNotice(*notice, message.sender());
        }
    }
}

/// Applies a notice. If it changes what is known, forwards it to other routers.
auto server_watch::handleNotice(const server_notice &notice, incarnation_id sender) -> void
{
    if (!m_calendar.absorb(notice, currentUnixMs())) {
        return;
    }
    applyStops();
    for (const auto target : relayTargets(m_links.members(), m_links.self(), sender)) {
        sendNotices(target, { notice });
    }
}

auto server_watch::onMember(const member_event &event) -> void
{
    const auto sameDataCentre = event.memberInfo.dataCentre == m_links.self().dataCentre;
    if (event.joined && (sameDataCentre || event.memberInfo.heardDirectly)) {
        sendNotices(event.memberInfo.incarnation, m_calendar.notices(currentUnixMs()));
    }
}

auto server_watch::sendNotices(incarnation_id peer, const std::vector<server_notice> &notices) -> void
{
    if (peer == m_links.self().incarnation || notices.empty()) {
        return;
    }
    auto message = std::make_unique<wire::Envelope>();
    for (const auto &notice : notices) {
        encode(notice, *message->add_notices());
    }
    m_links.send(peer, std::move(message));
}

auto server_watch::applyStops() -> void
{
    const auto stopping = m_calendar.stoppingAt(currentUnixMs());
    const auto previous = std::exchange(m_phases, stopping);
    if (previous != stopping) {
        auto leaving = std::set<object_id>();
        for (const auto &[server, phase] : stopping) {
            leaving.insert(server);
        }
        m_gate.setLeaving(std::move(leaving));
    }
    for (const auto &[server, phase] : previous) {
        if (!stopping.contains(server)) {
            applyPhase(server, stop_phase::open);
        }
    }
    for (const auto &[server, phase] : stopping) {
        const auto applied = previous.find(server);
        if (applied == previous.end() || applied->second != phase) {
            applyPhase(server, phase);
        }
        if (phase == stop_phase::moving) {
            // Repeated on each call: a request that was granted before the notice may have started after it.
            m_tickets.moveRequestsFrom(server);
        }
    }
}

auto server_watch::applyPhase(object_id server, stop_phase phase) -> void
{
    log_line(log_level::info, "backend_server_phase").with("backend_server", server.value).with("phase", nameOf(phase));
    m_dispatch.setServerState(server, phase == stop_phase::open ? server_state::available : server_state::leaving);
}

auto server_watch::updatePolledServers() -> void
{
    auto serverIds = std::set<object_id>();
    auto servers = std::vector<watched_server>();
    for (const auto &[name, server] : m_view->config().backendServers) {
        const auto *target = m_view->findService(server.service);
        const auto isEngine = target && target->kind == service_kind::model;
        if (isEngine && m_dispatch.isDispatcherOf({ server.dataCentre, target->id })) {
            serverIds.insert(server.id);
            servers.push_back({ server.id, server.address });
        }
    }
    if (serverIds != m_polledServers) {
        m_polledServers = std::move(serverIds);
        m_loadWatch->setServers(servers);
    }
}

auto server_watch::tick() -> void
{
    m_gate.recordTick(system_clock_source().now());
    if (m_view) {
        applyStops();
        updatePolledServers();
    }
}

auto server_watch::stop() -> void
{
    m_loadWatch->stop();
}

} // namespace marjoramloom
