#include "marjoramloom/peer/peer_links.h"

#include "marjoramloom/core/log.h"
#include "peer.pb.h"

#include <cassert>
#include <optional>

namespace marjoramloom {

namespace {

/// Number of checks of timeouts within one heartbeat period.
constexpr auto ticksPerHeartbeat = 5;

} // namespace

/// Implementation of peer_links, to which the timer callback keeps a weak reference.
struct peer_links::state : std::enable_shared_from_this<peer_links::state>
{
    state(boost::asio::any_io_executor strand, member self, peer_mesh_settings limits, counter_registry &registry)
        : counters(registry)
        , mesh(std::move(self), limits, transport.emplace(strand), registry, clock.now())
        , timer(strand)
        , period(limits.heartbeat / ticksPerHeartbeat)
    {
    }

    auto scheduleTick() -> void
    {
        timer.expires_after(period);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &failure) {
            const auto alive = weak.lock();
            if (failure || !alive || alive->stopped) {
                return;
            }
            alive->mesh.tick(alive->clock.now());
            alive->scheduleTick();
        });
    }

    counter_registry &counters;
    system_clock_source clock;
    std::optional<nng_transport> transport;
    peer_mesh<nng_transport> mesh;
    boost::asio::steady_timer timer;
    duration period;
    std::function<void(const member_event &event)> listener;
    bool stopped = false;
};

peer_links::peer_links(boost::asio::any_io_executor strand, member self, peer_mesh_settings limits,
                       counter_registry &counters)
    : m_state(std::make_shared<state>(std::move(strand), std::move(self), limits, counters))
{
    m_state->mesh.setMemberListener([raw = m_state.get()](const member_event &event) {
        log_line(log_level::info, event.joined ? "member" : "member_lost")
            .with("instance", event.memberInfo.instance)
            .with("incarnation", event.memberInfo.incarnation)
            .with("data_centre", event.memberInfo.dataCentre)
            .with("ready", static_cast<int>(event.memberInfo.ready))
            .with("leaving", static_cast<int>(event.memberInfo.leaving));
        if (raw->listener) {
            raw->listener(event);
        }
    });
}

peer_links::~peer_links()
{
    stop();
}

auto peer_links::start(const std::string &address, last_reason &why) -> bool
{
    auto &state = *m_state;
    state.transport->setMessageHandler(
        [raw = m_state.get()](std::string bytes) { raw->mesh.receive(bytes, raw->clock.now()); });
    state.transport->setWritableHandler(
        [raw = m_state.get()](link_number link) { raw->mesh.onWritable(link, raw->clock.now()); });
    if (!state.transport->listen(address, why)) {
        return false;
    }
    auto &self = state.mesh.routers().self();
    if (self.peerAddress.empty()) {
        self.peerAddress = state.transport->listenAddress();
    }
    state.mesh.tick(state.clock.now());
    state.scheduleTick();
    return true;
}

auto peer_links::stop() -> void
{
    if (!m_state->stopped) {
        m_state->stopped = true;
        m_state->timer.cancel();
        m_state->transport.reset();
    }
}

auto peer_links::setReceiver(std::function<void(incarnation_id from, const wire::Envelope &message)> receiver) -> void
{
    m_state->mesh.setReceiver(std::move(receiver));
}

auto peer_links::setMemberListener(std::function<void(const member_event &event)> listener) -> void
{
    m_state->listener = std::move(listener);
}

auto peer_links::setSeeds(std::vector<std::string> seeds) -> void
{
    m_state->mesh.setSeeds(std::move(seeds));
}

auto peer_links::setListedRouters(const std::vector<listed_instance> &listed) -> void
{
    auto routers = std::vector<listed_instance>();
    for (const auto &instance : listed) {
        if (instance.role == instance_role::router) {
            routers.push_back(instance);
        }
    }
    m_state->mesh.routers().setListedRouters(std::move(routers));
}

auto peer_links::setReady(bool ready) -> void
{
    m_state->mesh.routers().self().ready = ready;
}

auto peer_links::setLeaving(bool leaving) -> void
{
    m_state->mesh.routers().self().leaving = leaving;
}

auto peer_links::setConfigurationSequence(std::uint64_t sequence) -> void
{
    m_state->mesh.routers().self().configurationSequence = sequence;
}

auto peer_links::setPlatformAge(duration age) -> void
{
    m_state->mesh.setPlatformAge(age);
}

auto peer_links::send(incarnation_id to, std::unique_ptr<wire::Envelope> message) -> bool
{
    return !m_state->stopped && m_state->mesh.send(to, std::move(message), m_state->clock.now());
}

auto peer_links::members() const -> std::vector<member>
{
    return m_state->mesh.routers().members(m_state->clock.now());
}

auto peer_links::self() const -> const member &
{
    return m_state->mesh.routers().self();
}

auto peer_links::listenAddress() const -> const std::string &
{
    return m_state->transport->listenAddress();
}

auto peer_links::rejectedConnections() const -> std::uint64_t
{
    return m_state->transport ? m_state->transport->rejectedConnections() : 0;
}

auto peer_links::linkAddresses() const -> std::vector<std::string>
{
    return m_state->mesh.linkAddresses();
}

} // namespace marjoramloom
