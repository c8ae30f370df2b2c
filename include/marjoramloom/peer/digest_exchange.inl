#include "marjoramloom/peer/relay_plan.h"
#include "marjoramloom/peer/role.h"
#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

namespace marjoramloom {

template<peer_network Network>
digest_exchange<Network>::digest_exchange(Network &network, digest_exchange_settings limits, digest_handler onDigest)
    : m_network(network)
    , m_limits(limits)
    , m_onDigest(std::move(onDigest))
{
}

template<peer_network Network>
auto digest_exchange<Network>::addDigest(incarnation_id to, const pool_digest &digest, wire::Envelope &message) -> void
{
    auto &encoder = m_encoders.try_emplace({ to, digest.pool }, m_limits.minServiceChange).first->second;
    encoder.encodeChanges(digest, *message.add_digests());
}

template<peer_network Network>
auto digest_exchange<Network>::sendDigest(incarnation_id to, const pool_digest &digest) -> void
{
    auto message = std::make_unique<wire::Envelope>();
    addDigest(to, digest, *message);
    if (!m_network.send(to, std::move(message))) {
        m_encoders.erase({ to, digest.pool });
    }
}

template<peer_network Network>
auto digest_exchange<Network>::localGateways(const std::vector<member> &live) const -> std::set<incarnation_id>
{
    const auto &own = m_network.self().dataCentre;
    auto groups = groupByDataCentre(live);
    const auto members = groups[own];
    auto gateways = std::set<incarnation_id>();
    for (const auto &[other, others] : groups) {
        if (other != own) {
            gateways.insert(findRoleHolder(members, gatewayRole(own, other)));
        }
    }
    return gateways;
}

template<peer_network Network>
auto digest_exchange<Network>::publish(const pool_digest &digest, time_point now) -> void
{
    for (const auto gateway : localGateways(m_network.members())) {
        if (gateway == m_network.self().incarnation) {
            m_localDigests[digest.pool] = { digest, now };
        } else if (gateway != 0) {
            sendDigest(gateway, digest);
        }
    }
}

template<peer_network Network>
auto digest_exchange<Network>::receive(incarnation_id from, const wire::Envelope &message, time_point now) -> void
{
    auto why = last_reason();
    const auto peer = std::to_string(from);
    for (const auto &wanted : message.wanted_digests()) {
        if (const auto pool = decodePool(wanted.pool(), peer, why)) {
            m_encoders.erase({ from, *pool });
        }
    }
    for (const auto &changes : message.digests()) {
        const auto pool = decodePool(changes.pool(), peer, why);
        if (!pool) {
            continue;
        }
        auto needsFullDigest = false;
        const auto digest = m_decoders[{ from, *pool }].decodeChanges(changes, peer, needsFullDigest, why);
        if (digest) {
            handleDigest(from, *digest, now);
        } else if (needsFullDigest) {
            auto request = std::make_unique<wire::Envelope>();
            encode(*pool, *request->add_wanted_digests()->mutable_pool());
            m_network.send(from, std::move(request));
        }
    }
}

template<peer_network Network>
auto digest_exchange<Network>::handleDigest(incarnation_id from, const pool_digest &digest, time_point now) -> void
{
    const auto &self = m_network.self();
    if (digest.pool.dataCentre == self.dataCentre) {
        m_localDigests[digest.pool] = { digest, now };
        return;
    }
    const auto holder = findRoleHolder(m_network.members(), dispatcherRole({ self.dataCentre, digest.pool.service }));
    if (holder == self.incarnation) {
        m_onDigest(digest);
    } else if (holder != 0 && holder != from) {
        sendDigest(holder, digest);
    }
}

template<peer_network Network>
auto digest_exchange<Network>::onMember(incarnation_id peer) -> void
{
    std::erase_if(m_encoders, [&](const auto &item) { return item.first.first == peer; });
    std::erase_if(m_decoders, [&](const auto &item) { return item.first.first == peer; });
    m_nextSend.erase(peer);
}

template<peer_network Network>
auto digest_exchange<Network>::tick(time_point now) -> void
{
    std::erase_if(m_localDigests, [&](const auto &item) { return now - item.second.receivedAt > m_limits.expiry; });
    if (m_localDigests.empty()) {
        return;
    }
    const auto &self = m_network.self();
    for (const auto &to : counterparts(m_network.members(), self)) {
        auto &nextSend = m_nextSend[to.incarnation];
        if (now < nextSend) {
            continue;
        }
        nextSend = now + (to.region == self.region ? m_limits.sameRegionPeriod : m_limits.crossRegionPeriod);
        auto message = std::make_unique<wire::Envelope>();
        for (const auto &[pool, entry] : m_localDigests) {
            addDigest(to.incarnation, entry.digest, *message);
        }
        if (!m_network.send(to.incarnation, std::move(message))) {
            onMember(to.incarnation);
        }
    }
}

} // namespace marjoramloom
