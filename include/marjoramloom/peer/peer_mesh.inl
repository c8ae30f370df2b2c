#include "marjoramloom/peer/topology.h"
#include "marjoramloom/peer/wire_codec.h"
#include "marjoramloom/peer/wire_version.h"
#include "peer.pb.h"

#include <cassert>

namespace marjoramloom {

template<link_transport Transport>
peer_mesh<Transport>::peer_mesh(member self, peer_mesh_settings limits, Transport &transport,
                                counter_registry &counters, time_point now)
    : m_limits(limits)
    , m_transport(transport)
    , m_counters{ counters.at("marjoramloom_peer_sent_bytes_total"),
                  counters.at("marjoramloom_peer_sent_envelopes_total"),
                  counters.at("marjoramloom_peer_received_bytes_total"),
                  counters.at("marjoramloom_peer_received_envelopes_total"),
                  counters.at("marjoramloom_peer_dropped_envelopes_total", "reason=\"malformed\""),
                  counters.at("marjoramloom_peer_dropped_envelopes_total", "reason=\"other_version\""),
                  counters.at("marjoramloom_peer_dropped_envelopes_total", "reason=\"misdirected\""),
                  counters.at("marjoramloom_peer_dropped_envelopes_total", "reason=\"out_of_order\""),
                  counters.at("marjoramloom_peer_redials_total"),
                  counters.at("marjoramloom_peer_refused_messages_total") }
    , m_membership(std::move(self), limits.membership)
    , m_nextHeartbeat(now)
{
}

template<link_transport Transport>
auto peer_mesh<Transport>::setReceiver(receiver handler) -> void
{
    m_receiver = std::move(handler);
}

template<link_transport Transport>
auto peer_mesh<Transport>::setMemberListener(member_listener listener) -> void
{
    m_listener = std::move(listener);
}

template<link_transport Transport>
auto peer_mesh<Transport>::setSeeds(std::vector<std::string> seeds) -> void
{
    m_seeds = std::move(seeds);
    m_linksDirty = true;
}

template<link_transport Transport>
auto peer_mesh<Transport>::setPlatformAge(duration age) -> void
{
    m_platformAge = age;
}

template<link_transport Transport>
auto peer_mesh<Transport>::routers() -> membership &
{
    return m_membership;
}

template<link_transport Transport>
auto peer_mesh<Transport>::routers() const -> const membership &
{
    return m_membership;
}

template<link_transport Transport>
auto peer_mesh<Transport>::linkAddresses() const -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>();
    for (const auto &[address, link] : m_links) {
        addresses.push_back(address);
    }
    return addresses;
}

template<link_transport Transport>
auto peer_mesh<Transport>::findLink(incarnation_id peer) -> peer_link *
{
    const auto *router = m_membership.find(peer);
    if (!router) {
        return nullptr;
    }
    const auto link = m_links.find(router->peerAddress);
    const auto isBound = link != m_links.end() && link->second.session->peer() == peer;
    return isBound ? &link->second : nullptr;
}

template<link_transport Transport>
auto peer_mesh<Transport>::receive(std::string_view bytes, time_point now) -> void
{
    m_counters.receivedBytes.add(bytes.size());
    m_counters.receivedEnvelopes.add();
    auto message = wire::Envelope();
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.sender() == 0) {
        m_counters.malformed.add();
        return;
    }
    if (message.version() != wireVersion) {
        m_counters.otherVersion.add();
        return;
    }
    if (message.sender() != m_membership.self().incarnation) {
        handleEnvelope(message, now);
        publishEvents(now);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::handleEnvelope(const wire::Envelope &message, time_point now) -> void
{
    if (message.has_heartbeat()) {
        handleHeartbeat(message, now);
    }
    const auto isAddressedToSelf = message.receiver() == m_membership.self().incarnation;
    const auto isKnownSender = m_membership.find(message.sender()) != nullptr;
    if (!isAddressedToSelf || !isKnownSender) {
        m_counters.misdirected.add(message.receiver() != 0 ? 1 : 0);
        return;
    }
    auto *link = findLink(message.sender());
    if (link) {
        handleAcknowledgement(message, *link, now);
    }
    const auto hadGap = m_inbound.positionOf(message.sender()).hasGap;
    const auto order = m_inbound.checkOrder(message.sender(), message.stream(), message.sequence());
    if (order != receive_order::next) {
        m_counters.outOfOrder.add();
        if (order == receive_order::gap && !hadGap && link) {
            link->nextHeartbeat = now;
        }
        return;
    }
    handleRosters(message, now);
    if (hasPayload(message)) {
        m_lastMessageAt[message.sender()] = now;
        if (m_receiver) {
            m_receiver(message.sender(), message);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::handleHeartbeat(const wire::Envelope &message, time_point now) -> void
{
    const auto &heartbeat = message.heartbeat();
    const auto router = decodeMember(message.sender(), heartbeat);
    const auto hasIdentity = !router.instance.empty();
    const auto result =
        hasIdentity ? m_membership.onHeartbeat(router, now) : m_membership.onShortHeartbeat(router, now);
    if (result == heartbeat_result::obsolete || !m_membership.find(message.sender())) {
        return;
    }
    const auto &address = m_membership.find(message.sender())->peerAddress;
    if (heartbeat.wants_link()) {
        m_linksDirty = m_linkRequestedAt.insert_or_assign(message.sender(), now).second || m_linksDirty;
    }
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        auto &link = found->second;
        if (link.session->peer() != message.sender()) {
            bindLink(link, message.sender(), now);
        }
        link.membersToAnnounce.insert(heartbeat.suspects().begin(), heartbeat.suspects().end());
    }
    for (const auto &digest : heartbeat.members()) {
        if (digest.incarnation() == 0) { // An address hint.
            storeHint(digest.data_centre(), digest.peer_address());
        } else {
            m_membership.onRelayedHeartbeat(decodeMember(digest), now);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::handleAcknowledgement(const wire::Envelope &message, peer_link &link, time_point now) -> void
{
    link.session->acknowledge(message.heard_stream(), message.heard(), now);
    if (message.resend_wanted()) {
        link.session->resendUnacknowledged(now);
    }
    flush(link, now);
}

template<link_transport Transport>
auto peer_mesh<Transport>::handleRosters(const wire::Envelope &message, time_point now) -> void
{
    auto *link = findLink(message.sender());
    for (const auto &part : message.rosters()) {
        const auto update = decodeRoster(part);
        const auto isApplied = m_membership.mergeRoster(update, now);
        if (!isApplied && link) {
            link->rostersToRequest.insert(update.dataCentre);
        }
        if (isApplied && update.source == message.sender()) {
            auto &stored = m_remoteRosters[update.dataCentre];
            auto members = update.members.empty() ? std::move(stored.members) : update.members;
            stored = update;
            stored.members = std::move(members);
        }
    }
    if (link) {
        link->requestedRosters.insert(message.wanted_rosters().begin(), message.wanted_rosters().end());
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::publishEvents(time_point now) -> void
{
    for (const auto &event : m_membership.takeEvents()) {
        m_linksDirty = true;
        const auto link = m_links.find(event.memberInfo.peerAddress);
        const auto isBound = link != m_links.end() && link->second.session->peer() == event.memberInfo.incarnation;
        if (isBound && !event.joined) {
            link->second.session->bind(0, ++m_lastStream, now);
        }
        if (event.joined) {
            announceMember(event.memberInfo);
        }
        if (m_listener) {
            m_listener(event);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::heartbeatPeriod(const peer_link &link) const -> duration
{
    const auto *peer = m_membership.find(link.session->peer());
    const auto &self = m_membership.self();
    if (!peer || peer->dataCentre == self.dataCentre) {
        return m_limits.heartbeat;
    }
    return peer->region == self.region ? m_limits.sameRegionHeartbeat : m_limits.crossRegionHeartbeat;
}

template<link_transport Transport>
auto peer_mesh<Transport>::silenceTimeout(const peer_link &link) const -> duration
{
    constexpr auto heartbeats = 4; // Acknowledgements arrive with the peer's heartbeats.
    return heartbeatPeriod(link) * heartbeats;
}

template<link_transport Transport>
auto peer_mesh<Transport>::bindLink(peer_link &link, incarnation_id peer, time_point now) -> void
{
    link.session->bind(peer, ++m_lastStream, now);
    link.sentRosters.clear();
    link.nextHeartbeat = now;
    const auto *boundPeer = m_membership.find(peer);
    for (const auto &router : m_membership.members(now)) {
        if (boundPeer && router.dataCentre == boundPeer->dataCentre) {
            link.membersToAnnounce.insert(router.incarnation);
        }
    }
    for (const auto &[dataCentre, addresses] : m_membership.addressHints()) {
        link.hintsToSend.insert(dataCentre);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::announceMember(const member &joined) -> void
{
    for (auto &[address, link] : m_links) {
        const auto *peer = m_membership.find(link.session->peer());
        if (peer && peer->dataCentre == joined.dataCentre) {
            link.membersToAnnounce.insert(joined.incarnation);
        }
    }
    storeHint(joined.dataCentre, joined.peerAddress);
}

template<link_transport Transport>
auto peer_mesh<Transport>::storeHint(const std::string &dataCentre, const std::string &address) -> void
{
    if (!m_membership.addAddressHint(dataCentre, address)) {
        return;
    }
    m_linksDirty = true;
    for (auto &[peerAddress, link] : m_links) {
        link.hintsToSend.insert(dataCentre);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::addHints(peer_link &link, wire::Heartbeat &heartbeat) -> void
{
    for (const auto &dataCentre : link.hintsToSend) {
        auto &digest = *heartbeat.add_members();
        digest.set_data_centre(dataCentre);
        digest.set_peer_address(m_membership.addressHints().at(dataCentre).back());
    }
    link.hintsToSend.clear();
}

template<link_transport Transport>
auto peer_mesh<Transport>::addMembers(peer_link &link, wire::Heartbeat &heartbeat, time_point now) -> void
{
    for (const auto incarnation : link.membersToAnnounce) {
        const auto *candidate = m_membership.find(incarnation);
        if (candidate && incarnation != link.session->peer() && m_membership.isHeardDirectly(incarnation, now)) {
            encodeMember(*candidate, *heartbeat.add_members());
        }
    }
    link.membersToAnnounce.clear();
}

template<link_transport Transport>
auto peer_mesh<Transport>::openLink(const std::string &address, time_point now) -> peer_link &
{
    auto &link = m_links[address];
    assert(!link.session);
    link.number = m_transport.open(address);
    link.session =
        std::make_unique<peer_session>(m_membership.self().incarnation, ++m_lastStream, m_limits.session, now);
    link.nextHeartbeat = now;
    return link;
}

template<link_transport Transport>
auto peer_mesh<Transport>::reconnect(const std::string &address, peer_link &link, time_point now) -> void
{
    m_counters.reconnects.add();
    m_transport.close(link.number);
    link.number = m_transport.open(address);
    link.session->onReconnect(now);
    link.nextHeartbeat = now;
}

template<link_transport Transport>
auto peer_mesh<Transport>::updateLinks(time_point now) -> void
{
    m_linksDirty = false;
    std::erase_if(m_lastMessageAt, [&](const auto &item) { return now - item.second > m_limits.idleTimeout; });
    std::erase_if(m_linkRequestedAt,
                  [&](const auto &item) { return now - item.second > m_limits.membership.remoteTimeout; });
    m_ownLinkAddresses = requiredLinkAddresses({ m_membership, m_seeds, m_lastMessageAt, m_limits.idleTimeout }, now);
    auto wanted = m_ownLinkAddresses;
    for (const auto &[peer, when] : m_linkRequestedAt) {
        if (const auto *router = m_membership.find(peer)) {
            wanted.insert(router->peerAddress);
        }
    }
    std::erase_if(m_links, [&](const auto &item) {
        const auto isUnneeded = !wanted.contains(item.first);
        if (isUnneeded) {
            m_transport.close(item.second.number);
        }
        return isUnneeded;
    });
    for (const auto &address : wanted) {
        if (!m_links.contains(address)) {
            openLink(address, now);
        }
    }
    for (const auto &router : m_membership.members(now)) {
        const auto link = m_links.find(router.peerAddress);
        if (link != m_links.end() && link->second.session->peer() == 0) {
            bindLink(link->second, router.incarnation, now);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::tick(time_point now) -> void
{
    if (now >= m_nextHeartbeat) {
        ++m_membership.self().heartbeatCount;
        m_nextHeartbeat = now + m_limits.heartbeat;
        m_linksDirty = true;
    }
    m_membership.expire(now);
    publishEvents(now);
    if (m_linksDirty) {
        updateLinks(now);
    }
    for (auto &[address, link] : m_links) {
        if (link.session->hasTimedOut(silenceTimeout(link), now)) {
            reconnect(address, link, now);
        }
        if (now >= link.nextHeartbeat) {
            queueHeartbeat(address, link, now);
        }
        flush(link, now);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::queueHeartbeat(const std::string &address, peer_link &link, time_point now) -> void
{
    link.nextHeartbeat = now + heartbeatPeriod(link);
    if (link.session->hasHeartbeat()) {
        return;
    }
    auto message = std::make_unique<wire::Envelope>();
    auto &heartbeat = *message->mutable_heartbeat();
    encodeHeartbeat(m_membership.self(), link.session->isUnacknowledged(), heartbeat);
    heartbeat.set_platform_age_ms(toMilliseconds(m_platformAge));
    heartbeat.set_wants_link(m_ownLinkAddresses.contains(address));
    const auto *peer = m_membership.find(link.session->peer());
    if (peer && peer->dataCentre == m_membership.self().dataCentre) {
        for (const auto suspect : m_membership.suspects(now)) {
            heartbeat.add_suspects(suspect);
        }
    }
    if (peer) {
        addMembers(link, heartbeat, now);
        addHints(link, heartbeat);
        addRosters(link, *peer, *message, now);
    }
    link.session->queue(std::move(message));
}

template<link_transport Transport>
auto peer_mesh<Transport>::addRosters(peer_link &link, const member &peer, wire::Envelope &message, time_point now)
    -> void
{
    const auto &own = m_membership.self().dataCentre;
    if (peer.dataCentre != own) {
        addRoster(link, m_membership.localRoster(true, now), message);
    } else {
        for (const auto &[name, update] : m_remoteRosters) {
            const auto sent = link.sentRosters.find(name);
            const auto isNewer = sent == link.sentRosters.end() || sent->second.heartbeatCount < update.heartbeatCount;
            if (isNewer || link.requestedRosters.contains(name)) {
                addRoster(link, update, message);
            }
        }
    }
    for (const auto &name : link.rostersToRequest) {
        message.add_wanted_rosters(name);
    }
    link.rostersToRequest.clear();
    link.requestedRosters.clear();
}

template<link_transport Transport>
auto peer_mesh<Transport>::addRoster(peer_link &link, const roster &update, wire::Envelope &message) -> void
{
    auto &sent = link.sentRosters[update.dataCentre];
    const auto includeMembers = sent.version != update.version || link.requestedRosters.contains(update.dataCentre);
    sent.version = update.version;
    sent.heartbeatCount = update.heartbeatCount;
    encodeRoster(update, includeMembers, *message.add_rosters());
}

template<link_transport Transport>
auto peer_mesh<Transport>::flush(peer_link &link, time_point now) -> void
{
    while (link.session->hasDataToSend() && m_transport.isIdle(link.number)) {
        const auto position = m_inbound.positionOf(link.session->peer());
        auto bytes = link.session->next(position.stream, position.lastSequence, position.hasGap, now);
        if (!bytes) {
            return;
        }
        m_counters.sentBytes.add(bytes->size());
        m_counters.sentEnvelopes.add();
        m_transport.write(link.number, std::move(*bytes));
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::onWritable(link_number link, time_point now) -> void
{
    for (auto &[address, entry] : m_links) {
        if (entry.number == link) {
            flush(entry, now);
            return;
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::send(incarnation_id to, std::unique_ptr<wire::Envelope> message, time_point now) -> bool
{
    assert(to != m_membership.self().incarnation);
    const auto *router = m_membership.find(to);
    if (!router) {
        m_counters.refusedMessages.add();
        return false;
    }
    m_lastMessageAt[to] = now;
    const auto found = m_links.find(router->peerAddress);
    auto &link = found == m_links.end() ? openLink(router->peerAddress, now) : found->second;
    if (link.session->peer() != to) {
        bindLink(link, to, now);
    }
    const auto accepted = link.session->queue(std::move(message));
    m_counters.refusedMessages.add(accepted ? 0 : 1);
    flush(link, now);
    return accepted;
}

} // namespace marjoramloom
