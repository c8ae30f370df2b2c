#include "marjoramloom/peer/duty.h"
#include "marjoramloom/peer/relay_plan.h"
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
auto digest_exchange<Network>::send(incarnation_id to, const pool_digest &digest, wire::Envelope &message) -> void
{
    auto &encoder = m_encoders.try_emplace({ to, digest.pool }, m_limits.serviceStep).first->second;
    encoder.encodeChanges(digest, *message.add_digests());
}

template<peer_network Network>
auto digest_exchange<Network>::sendOne(incarnation_id to, const pool_digest &digest) -> void
{
    auto message = std::make_unique<wire::Envelope>();
    send(to, digest, *message);
    if (!m_network.send(to, std::move(message))) {
        m_encoders.erase({ to, digest.pool });
    }
}

template<peer_network Network>
auto digest_exchange<Network>::gatewaysOfOwn(const std::vector<member> &live) const -> std::set<incarnation_id>
{
    const auto &own = m_network.self().dataCentre;
    auto groups = groupByDataCentre(live);
    const auto members = groups[own];
    auto gateways = std::set<incarnation_id>();
    for (const auto &[other, others] : groups) {
        if (other != own) {
            gateways.insert(dutyHolder(members, gatewayDuty(own, other)));
        }
    }
    return gateways;
}

template<peer_network Network>
auto digest_exchange<Network>::publish(const pool_digest &digest, time_point now) -> void
{
    for (const auto gateway : gatewaysOfOwn(m_network.members())) {
        if (gateway == m_network.self().incarnation) {
            m_own[digest.pool] = { digest, now };
        } else if (gateway != 0) {
            sendOne(gateway, digest);
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
    for (const auto &part : message.digests()) {
        const auto pool = decodePool(part.pool(), peer, why);
        if (!pool) {
            continue;
        }
        auto wantsWhole = false;
        const auto digest = m_decoders[{ from, *pool }].decodeChanges(part, peer, wantsWhole, why);
        if (digest) {
            take(from, *digest, now);
        } else if (wantsWhole) {
            auto request = std::make_unique<wire::Envelope>();
            encode(*pool, *request->add_wanted_digests()->mutable_pool());
            m_network.send(from, std::move(request));
        }
    }
}

template<peer_network Network>
auto digest_exchange<Network>::take(incarnation_id from, const pool_digest &digest, time_point now) -> void
{
    const auto &self = m_network.self();
    if (digest.pool.dataCentre == self.dataCentre) {
        m_own[digest.pool] = { digest, now };
        return;
    }
    const auto holder = dutyHolder(m_network.members(), dispatcherDuty({ self.dataCentre, digest.pool.service }));
    if (holder == self.incarnation) {
        m_onDigest(digest);
    } else if (holder != 0 && holder != from) {
        sendOne(holder, digest);
    }
}

template<peer_network Network>
auto digest_exchange<Network>::onMember(incarnation_id who) -> void
{
    std::erase_if(m_encoders, [&](const auto &item) { return item.first.first == who; });
    std::erase_if(m_decoders, [&](const auto &item) { return item.first.first == who; });
    m_nextSend.erase(who);
}

template<peer_network Network>
auto digest_exchange<Network>::tick(time_point now) -> void
{
    std::erase_if(m_own, [&](const auto &item) { return now - item.second.when > m_limits.expiry; });
    if (m_own.empty()) {
        return;
    }
    const auto &self = m_network.self();
    for (const auto &to : counterparts(m_network.members(), self)) {
        auto &due = m_nextSend[to.incarnation];
        if (now < due) {
            continue;
        }
        due = now + (to.region == self.region ? m_limits.near : m_limits.far);
        auto message = std::make_unique<wire::Envelope>();
        for (const auto &[pool, kept] : m_own) {
            send(to.incarnation, kept.digest, *message);
        }
        if (!m_network.send(to.incarnation, std::move(message))) {
            onMember(to.incarnation);
        }
    }
}

} // namespace marjoramloom
