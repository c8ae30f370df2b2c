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

/// Identifies one dialled connection; a transport never reuses a number.
using link_number = std::uint64_t;

/// Sends messages to addresses. open() starts to dial and returns at once; a link takes one message at a time.
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

/// Periods and limits of the links between routers.
struct peer_mesh_settings
{
    membership_settings membership;
    peer_session_settings session;
    duration heartbeat = std::chrono::milliseconds(500); ///< Period of heartbeats within a data centre.
    /// Period of heartbeats to another data centre of the region.
    duration sameRegionHeartbeat = std::chrono::milliseconds(1'000);
    duration crossRegionHeartbeat = std::chrono::milliseconds(2'000); ///< Period of heartbeats to another region.
    /// Links that were opened only to send messages are closed after this idle time.
    duration idleTimeout = std::chrono::seconds(30);
};

/// Links of one router to the others over any transport. Tracks which routers are alive, decides which links to keep
/// open, sends heartbeats, and delivers messages once and in order while both ends live.
///
/// A message that send() accepted is delivered, or the receiver is reported as lost; messages queued for a lost member
/// are dropped. The class reads no clock. Not thread safe: it is used on the decision strand.
template<link_transport Transport>
class peer_mesh
{
public:
    using receiver = std::function<void(incarnation_id from, const wire::Envelope &message)>;
    using member_listener = std::function<void(const member_event &event)>;

    /// Preconditions: \p self has an incarnation, instance name and data centre; \p transport and \p counters outlive
    /// the mesh.
    peer_mesh(member self, peer_mesh_settings limits, Transport &transport, counter_registry &counters, time_point now);

    /// Sets the function that is called with each envelope that holds more than a heartbeat.
    auto setReceiver(receiver handler) -> void;

    /// Sets the function that is called when a member joins, changes its state, or is lost.
    auto setMemberListener(member_listener listener) -> void;

    /// Sets addresses from the settings, which are dialled until the member behind them is known.
    auto setSeeds(std::vector<std::string> seeds) -> void;

    /// Sets the time since the last answer of the platform, which is sent with each heartbeat.
    auto setPlatformAge(duration age) -> void;

    /// Handles a message received on the peer port.
    auto receive(std::string_view bytes, time_point now) -> void;

    /// Sends heartbeats, checks timeouts, and opens, closes and reconnects links. Must be called several times per
    /// heartbeat period.
    auto tick(time_point now) -> void;

    /// Must be called when \p link can take its next message.
    auto onWritable(link_number link, time_point now) -> void;

    /// Queues \p message for a live member. Returns false, and sends nothing, where the member is unknown or its queue
    /// is full. Precondition: \p to is another router.
    auto send(incarnation_id to, std::unique_ptr<wire::Envelope> message, time_point now) -> bool;

    [[nodiscard]] auto routers() -> membership &;
    [[nodiscard]] auto routers() const -> const membership &;

    /// Addresses of all open links.
    [[nodiscard]] auto linkAddresses() const -> std::vector<std::string>;

private:
    /// The roster that was last sent to a peer.
    struct sent_roster
    {
        std::uint64_t version = 0;
        std::uint64_t heartbeatCount = 0;
    };

    /// The link to one address.
    struct peer_link
    {
        link_number number = 0;
        std::unique_ptr<peer_session> session;
        time_point nextHeartbeat;
        std::map<std::string, sent_roster> sentRosters;
        std::set<std::string> requestedRosters; ///< Rosters that the peer requested with all members, by data centre.
        std::set<std::string> rostersToRequest; ///< Rosters to request from the peer, by data centre.
        std::set<incarnation_id> membersToAnnounce; ///< Members that the peer suspects or may not know.
        std::set<std::string> hintsToSend; ///< Data centres whose address hints are sent to the peer.
    };

    /// Metrics of the peer links.
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
        counter &reconnects;
        counter &refusedMessages;
    };

    auto handleEnvelope(const wire::Envelope &message, time_point now) -> void;
    auto handleHeartbeat(const wire::Envelope &message, time_point now) -> void;
    auto handleRosters(const wire::Envelope &message, time_point now) -> void;
    auto handleAcknowledgement(const wire::Envelope &message, peer_link &link, time_point now) -> void;
    auto publishEvents(time_point now) -> void;
    auto updateLinks(time_point now) -> void;
    auto bindLink(peer_link &link, incarnation_id peer, time_point now) -> void;
    auto announceMember(const member &joined) -> void;
    auto storeHint(const std::string &dataCentre, const std::string &address) -> void;
    auto addHints(peer_link &link, wire::Heartbeat &heartbeat) -> void;
    auto addMembers(peer_link &link, wire::Heartbeat &heartbeat, time_point now) -> void;
    auto openLink(const std::string &address, time_point now) -> peer_link &;
    auto reconnect(const std::string &address, peer_link &link, time_point now) -> void;
    auto findLink(incarnation_id peer) -> peer_link *;
    auto flush(peer_link &link, time_point now) -> void;
    auto queueHeartbeat(const std::string &address, peer_link &link, time_point now) -> void;
    auto addRosters(peer_link &link, const member &peer, wire::Envelope &message, time_point now) -> void;
    auto addRoster(peer_link &link, const roster &update, wire::Envelope &message) -> void;
    [[nodiscard]] auto heartbeatPeriod(const peer_link &link) const -> duration;
    [[nodiscard]] auto silenceTimeout(const peer_link &link) const -> duration;

    peer_mesh_settings m_limits;
    Transport &m_transport;
    peer_counters m_counters;
    membership m_membership;
    inbound_streams m_inbound;
    receiver m_receiver;
    member_listener m_listener;
    std::vector<std::string> m_seeds;
    std::map<std::string, peer_link> m_links; ///< By address.
    std::unordered_map<incarnation_id, time_point>
        m_lastMessageAt; ///< Time of the last message to or from each member.
    /// Peers that requested a link from this router, with the time of the last request.
    std::unordered_map<incarnation_id, time_point> m_linkRequestedAt;
    /// Addresses that this router itself needs a link to, whether or not the peer requests one.
    std::set<std::string> m_ownLinkAddresses;
    /// Received from their source and forwarded within this data centre.
    std::map<std::string, roster> m_remoteRosters;
    std::uint64_t m_lastStream = 0;
    duration m_platformAge{};
    time_point m_nextHeartbeat;
    bool m_linksDirty = true;
};

} // namespace marjoramloom

#include "marjoramloom/peer/peer_mesh.inl"
