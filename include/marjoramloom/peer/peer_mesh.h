#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/peer/inbound_streams.h"
#include "marjoramloom/peer/membership.h"
#include "marjoramloom/peer/peer_session.h"

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom::wire {
class Envelope;
class Heartbeat;
}

namespace marjoramloom {

/// Names one dialled connection; a transport gives none twice.
using link_number = std::uint64_t;

/// Carries bytes to addresses. Open starts to dial and returns at once; a link takes one message at a time.
template<typename Transport>
concept link_transport = requires(Transport &transport, const std::string &address, link_number link, std::string bytes)
{
    {
        transport.open(address)
        } -> std::same_as<link_number>;
    transport.close(link);
    {
        transport.isIdle(link)
        } -> std::same_as<bool>;
    transport.write(link, std::move(bytes));
};

/// Periods and bounds of the links between routers.
struct peer_mesh_settings
{
    membership_settings membership;
    peer_session_settings session;
    duration heartbeat = std::chrono::milliseconds(500); ///< Within a data centre.
    duration nearHeartbeat = std::chrono::milliseconds(1'000); ///< To another data centre of the region.
    duration farHeartbeat = std::chrono::milliseconds(2'000); ///< To another region.
    duration idleTimeout = std::chrono::seconds(30); ///< Links made for single messages are closed after it.
};

/// The links of one router to the others, over any transport: who is alive, which links to hold, heartbeats, and
/// messages taken once and in order while both ends live.
///
/// A message that send() accepted arrives, or the receiver is reported as lost; what waited for a lost member is
/// dropped. Reads no clock. Not thread safe: the decision strand owns it.
template<link_transport Transport>
class peer_mesh
{
public:
    using receiver = std::function<void(incarnation_id from, const wire::Envelope &message)>;
    using member_listener = std::function<void(const member_event &event)>;

    /// Preconditions: \p self is whole, \p transport and \p counters outlive the mesh.
    peer_mesh(member self, peer_mesh_settings limits, Transport &transport, counter_registry &counters, time_point now);

    /// Called with each envelope that holds more than a heartbeat.
    auto setReceiver(receiver handler) -> void;

    /// Called when a member joins, changes its readiness, or is gone.
    auto setMemberListener(member_listener listener) -> void;

    /// Addresses from the settings, to be dialled before the instance list is known.
    auto setSeeds(std::vector<std::string> seeds) -> void;

    /// Since the platform was last heard, told to the others with each heartbeat.
    auto setPlatformAge(duration age) -> void;

    /// Handles a message from the peer port.
    auto receive(std::string_view bytes, time_point now) -> void;

    /// Heartbeats, timeouts, links to open, to close and to dial again. To be called several times per heartbeat.
    auto tick(time_point now) -> void;

    /// The link can take its next message.
    auto writable(link_number link, time_point now) -> void;

    /// Queues \p message for a live member. False where it is not known or its queue is full: then nothing is sent.
    /// Precondition: \p to is another router.
    auto send(incarnation_id to, std::unique_ptr<wire::Envelope> message, time_point now) -> bool;

    [[nodiscard]] auto routers() -> membership &;
    [[nodiscard]] auto routers() const -> const membership &;

    /// Addresses of the links that are held.
    [[nodiscard]] auto linkAddresses() const -> std::vector<std::string>;

private:
    struct roster_sent
    {
        std::uint64_t version = 0;
        std::uint64_t beat = 0;
    };

    struct peer_link
    {
        link_number number = 0;
        std::unique_ptr<peer_session> session;
        time_point nextHeartbeat;
        std::map<std::string, roster_sent> rostersSent;
        std::set<std::string> rostersAsked; ///< The peer asked for them whole.
        std::set<std::string> rostersWanted; ///< To be asked of the peer.
        std::set<incarnation_id> membersToTell; ///< The peer suspects or may not know them.
        std::set<std::string> hintsToTell; ///< Data centres that the peer may not know.
    };

    struct peer_counters
    {
        counter &sentBytes;
        counter &sentEnvelopes;
        counter &receivedBytes;
        counter &receivedEnvelopes;
        counter &malformed;
        counter &otherVersion;
        counter &misdirected;
        counter &outOfOrder;
        counter &redials;
        counter &refused;
    };

    auto take(const wire::Envelope &message, time_point now) -> void;
    auto takeHeartbeat(const wire::Envelope &message, time_point now) -> void;
    auto takeRosters(const wire::Envelope &message, time_point now) -> void;
    auto takeAcknowledgement(const wire::Envelope &message, peer_link &link, time_point now) -> void;
    auto publishEvents(time_point now) -> void;
    auto arrangeLinks(time_point now) -> void;
    auto bindLink(peer_link &link, incarnation_id peer, time_point now) -> void;
    auto tellOthers(const member &joined) -> void;
    auto takeHint(const std::string &dataCentre, const std::string &address) -> void;
    auto addHints(peer_link &link, wire::Heartbeat &heartbeat) -> void;
    auto addMembers(peer_link &link, wire::Heartbeat &heartbeat, time_point now) -> void;
    auto openLink(const std::string &address, time_point now) -> peer_link &;
    auto redial(const std::string &address, peer_link &link, time_point now) -> void;
    auto linkOf(incarnation_id peer) -> peer_link *;
    auto flush(peer_link &link, time_point now) -> void;
    auto queueHeartbeat(const std::string &address, peer_link &link, time_point now) -> void;
    auto addRosters(peer_link &link, const member &peer, wire::Envelope &message, time_point now) -> void;
    auto addRoster(peer_link &link, const roster &news, wire::Envelope &message) -> void;
    [[nodiscard]] auto heartbeatPeriod(const peer_link &link) const -> duration;
    [[nodiscard]] auto silenceLimit(const peer_link &link) const -> duration;

    peer_mesh_settings m_limits;
    Transport &m_transport;
    peer_counters m_counters;
    membership m_membership;
    inbound_streams m_inbound;
    receiver m_receiver;
    member_listener m_listener;
    std::vector<std::string> m_seeds;
    std::map<std::string, peer_link> m_links; ///< By address.
    std::unordered_map<incarnation_id, time_point> m_used;
    std::unordered_map<incarnation_id, time_point> m_wantedBy; ///< Peers that need a link back.
    std::set<std::string> m_ownWanted; ///< Addresses that this router needs for reasons of its own.
    std::map<std::string, roster> m_remoteRosters; ///< Heard from their source, to be told in the data centre.
    std::uint64_t m_lastStream = 0;
    duration m_platformAge{};
    time_point m_nextBeat;
    bool m_linksDirty = true;
};

} // namespace marjoramloom

#include "marjoramloom/peer/peer_mesh.inl"
