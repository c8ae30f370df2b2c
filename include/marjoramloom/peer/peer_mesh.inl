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
    , m_nextBeat(now)
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
auto peer_mesh<Transport>::linkOf(incarnation_id peer) -> peer_link *
{
    const auto *who = m_membership.find(peer);
    if (!who) {
        return nullptr;
    }
    const auto link = m_links.find(who->peerAddress);
    const auto bound = link != m_links.end() && link->second.session->peer() == peer;
    return bound ? &link->second : nullptr;
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
        take(message, now);
        publishEvents(now);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::take(const wire::Envelope &message, time_point now) -> void
{
    if (message.has_heartbeat()) {
        takeHeartbeat(message, now);
    }
    const auto meant = message.receiver() == m_membership.self().incarnation;
    const auto known = m_membership.find(message.sender()) != nullptr;
    if (!meant || !known) {
        m_counters.misdirected.add(message.receiver() != 0 ? 1 : 0);
        return;
    }
    auto *link = linkOf(message.sender());
    if (link) {
        takeAcknowledgement(message, *link, now);
    }
    const auto hadGap = m_inbound.of(message.sender()).gap;
    const auto order = m_inbound.arrive(message.sender(), message.stream(), message.sequence());
    if (order != arrival::next) {
        m_counters.outOfOrder.add();
        if (order == arrival::gap && !hadGap && link) {
            link->nextHeartbeat = now;
        }
        return;
    }
    takeRosters(message, now);
    if (holdsMessages(message)) {
        m_used[message.sender()] = now;
        if (m_receiver) {
            m_receiver(message.sender(), message);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::takeHeartbeat(const wire::Envelope &message, time_point now) -> void
{
    const auto &heartbeat = message.heartbeat();
    const auto who = memberFrom(message.sender(), heartbeat);
    const auto introduced = !who.instance.empty();
    const auto result = introduced ? m_membership.hear(who, now) : m_membership.hearAgain(who, now);
    if (result == heard_result::obsolete || !m_membership.find(message.sender())) {
        return;
    }
    const auto &address = m_membership.find(message.sender())->peerAddress;
    if (heartbeat.wants_link()) {
        m_linksDirty = m_wantedBy.insert_or_assign(message.sender(), now).second || m_linksDirty;
    }
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        auto &link = found->second;
        if (link.session->peer() != message.sender()) {
            bindLink(link, message.sender(), now);
        }
        link.membersToTell.insert(heartbeat.suspects().begin(), heartbeat.suspects().end());
    }
    for (const auto &digest : heartbeat.members()) {
        if (digest.incarnation() == 0) {
            takeHint(digest.data_centre(), digest.peer_address());
        } else {
            m_membership.hearThrough(memberFrom(digest), now);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::takeAcknowledgement(const wire::Envelope &message, peer_link &link, time_point now) -> void
{
    link.session->acknowledge(message.heard_stream(), message.heard(), now);
    if (message.resend_wanted()) {
        link.session->rewind(now);
    }
    flush(link, now);
}

template<link_transport Transport>
auto peer_mesh<Transport>::takeRosters(const wire::Envelope &message, time_point now) -> void
{
    auto *link = linkOf(message.sender());
    for (const auto &part : message.rosters()) {
        const auto news = rosterFrom(part);
        const auto useful = m_membership.absorb(news, now);
        if (!useful && link) {
            link->rostersWanted.insert(news.dataCentre);
        }
        if (useful && news.source == message.sender()) {
            auto &kept = m_remoteRosters[news.dataCentre];
            auto members = news.members.empty() ? std::move(kept.members) : news.members;
            kept = news;
            kept.members = std::move(members);
        }
    }
    if (link) {
        link->rostersAsked.insert(message.wanted_rosters().begin(), message.wanted_rosters().end());
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::publishEvents(time_point now) -> void
{
    for (const auto &event : m_membership.takeEvents()) {
        m_linksDirty = true;
        const auto link = m_links.find(event.who.peerAddress);
        const auto bound = link != m_links.end() && link->second.session->peer() == event.who.incarnation;
        if (bound && !event.joined) {
            link->second.session->bind(0, ++m_lastStream, now);
        }
        if (event.joined) {
            tellOthers(event.who);
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
    return peer->region == self.region ? m_limits.nearHeartbeat : m_limits.farHeartbeat;
}

template<link_transport Transport>
auto peer_mesh<Transport>::silenceLimit(const peer_link &link) const -> duration
{
    constexpr auto heartbeats = 4; // Acknowledgements come with the peer's heartbeats.
    return heartbeatPeriod(link) * heartbeats;
}

template<link_transport Transport>
auto peer_mesh<Transport>::bindLink(peer_link &link, incarnation_id peer, time_point now) -> void
{
    link.session->bind(peer, ++m_lastStream, now);
    link.rostersSent.clear();
    link.nextHeartbeat = now;
    const auto *bound = m_membership.find(peer);
    for (const auto &who : m_membership.members(now)) {
        if (bound && who.dataCentre == bound->dataCentre) {
            link.membersToTell.insert(who.incarnation);
        }
    }
    for (const auto &[dataCentre, addresses] : m_membership.hints()) {
        link.hintsToTell.insert(dataCentre);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::tellOthers(const member &joined) -> void
{
    for (auto &[address, link] : m_links) {
        const auto *peer = m_membership.find(link.session->peer());
        if (peer && peer->dataCentre == joined.dataCentre) {
            link.membersToTell.insert(joined.incarnation);
        }
    }
    takeHint(joined.dataCentre, joined.peerAddress);
}

template<link_transport Transport>
auto peer_mesh<Transport>::takeHint(const std::string &dataCentre, const std::string &address) -> void
{
    if (!m_membership.hint(dataCentre, address)) {
        return;
    }
    m_linksDirty = true;
    for (auto &[peerAddress, link] : m_links) {
        link.hintsToTell.insert(dataCentre);
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::addHints(peer_link &link, wire::Heartbeat &heartbeat) -> void
{
    for (const auto &dataCentre : link.hintsToTell) {
        auto &digest = *heartbeat.add_members();
        digest.set_data_centre(dataCentre);
        digest.set_peer_address(m_membership.hints().at(dataCentre).back());
    }
    link.hintsToTell.clear();
}

template<link_transport Transport>
auto peer_mesh<Transport>::addMembers(peer_link &link, wire::Heartbeat &heartbeat, time_point now) -> void
{
    for (const auto asked : link.membersToTell) {
        const auto *heard = m_membership.find(asked);
        if (heard && asked != link.session->peer() && m_membership.isDirect(asked, now)) {
            encodeMember(*heard, *heartbeat.add_members());
        }
    }
    link.membersToTell.clear();
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
auto peer_mesh<Transport>::redial(const std::string &address, peer_link &link, time_point now) -> void
{
    m_counters.redials.add();
    m_transport.close(link.number);
    link.number = m_transport.open(address);
    link.session->redialled(now);
    link.nextHeartbeat = now;
}

template<link_transport Transport>
auto peer_mesh<Transport>::arrangeLinks(time_point now) -> void
{
    m_linksDirty = false;
    std::erase_if(m_used, [&](const auto &item) { return now - item.second > m_limits.idleTimeout; });
    std::erase_if(m_wantedBy, [&](const auto &item) { return now - item.second > m_limits.membership.remoteTimeout; });
    m_ownWanted = wantedAddresses({ m_membership, m_seeds, m_used, m_limits.idleTimeout }, now);
    auto wanted = m_ownWanted;
    for (const auto &[peer, when] : m_wantedBy) {
        if (const auto *who = m_membership.find(peer)) {
            wanted.insert(who->peerAddress);
        }
    }
    std::erase_if(m_links, [&](const auto &item) {
        const auto superfluous = !wanted.contains(item.first);
        if (superfluous) {
            m_transport.close(item.second.number);
        }
        return superfluous;
    });
    for (const auto &address : wanted) {
        if (!m_links.contains(address)) {
            openLink(address, now);
        }
    }
    for (const auto &who : m_membership.members(now)) {
        const auto link = m_links.find(who.peerAddress);
        if (link != m_links.end() && link->second.session->peer() == 0) {
            bindLink(link->second, who.incarnation, now);
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::tick(time_point now) -> void
{
    if (now >= m_nextBeat) {
        ++m_membership.self().beat;
        m_nextBeat = now + m_limits.heartbeat;
        m_linksDirty = true;
    }
    m_membership.expire(now);
    publishEvents(now);
    if (m_linksDirty) {
        arrangeLinks(now);
    }
    for (auto &[address, link] : m_links) {
        if (link.session->isSilent(silenceLimit(link), now)) {
            redial(address, link, now);
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
    encodeHeartbeat(m_membership.self(), link.session->isUnproved(), heartbeat);
    heartbeat.set_platform_age_ms(toMilliseconds(m_platformAge));
    heartbeat.set_wants_link(m_ownWanted.contains(address));
    const auto *peer = m_membership.find(link.session->peer());
    if (peer && peer->dataCentre == m_membership.self().dataCentre) {
        for (const auto silent : m_membership.suspects(now)) {
            heartbeat.add_suspects(silent);
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
        addRoster(link, m_membership.ownRoster(true, now), message);
    } else {
        for (const auto &[name, news] : m_remoteRosters) {
            const auto sent = link.rostersSent.find(name);
            const auto isNews = sent == link.rostersSent.end() || sent->second.beat < news.beat;
            if (isNews || link.rostersAsked.contains(name)) {
                addRoster(link, news, message);
            }
        }
    }
    for (const auto &name : link.rostersWanted) {
        message.add_wanted_rosters(name);
    }
    link.rostersWanted.clear();
    link.rostersAsked.clear();
}

template<link_transport Transport>
auto peer_mesh<Transport>::addRoster(peer_link &link, const roster &news, wire::Envelope &message) -> void
{
    auto &sent = link.rostersSent[news.dataCentre];
    const auto whole = sent.version != news.version || link.rostersAsked.contains(news.dataCentre);
    sent.version = news.version;
    sent.beat = news.beat;
    encodeRoster(news, whole, *message.add_rosters());
}

template<link_transport Transport>
auto peer_mesh<Transport>::flush(peer_link &link, time_point now) -> void
{
    while (link.session->hasWork() && m_transport.isIdle(link.number)) {
        const auto position = m_inbound.of(link.session->peer());
        auto bytes = link.session->next(position.stream, position.heard, position.gap, now);
        if (!bytes) {
            return;
        }
        m_counters.sentBytes.add(bytes->size());
        m_counters.sentEnvelopes.add();
        m_transport.write(link.number, std::move(*bytes));
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::writable(link_number link, time_point now) -> void
{
    for (auto &[address, held] : m_links) {
        if (held.number == link) {
            flush(held, now);
            return;
        }
    }
}

template<link_transport Transport>
auto peer_mesh<Transport>::send(incarnation_id to, std::unique_ptr<wire::Envelope> message, time_point now) -> bool
{
    assert(to != m_membership.self().incarnation);
    const auto *who = m_membership.find(to);
    if (!who) {
        m_counters.refused.add();
        return false;
    }
    m_used[to] = now;
    const auto found = m_links.find(who->peerAddress);
    auto &link = found == m_links.end() ? openLink(who->peerAddress, now) : found->second;
    if (link.session->peer() != to) {
        bindLink(link, to, now);
    }
    const auto accepted = link.session->queue(std::move(message));
    m_counters.refused.add(accepted ? 0 : 1);
    flush(link, now);
    return accepted;
}

} // namespace marjoramloom
