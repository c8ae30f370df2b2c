#include "marjoramloom/core/hash.h"
#include "marjoramloom/peer/relay_plan.h"
#include "marjoramloom/peer/role.h"
#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

#include <algorithm>

namespace marjoramloom {

namespace totals_exchange_detail {

/// The ledger reserves incarnation numbers from here on for adjustments of virtual service.
constexpr auto firstReservedNumber = incarnation_id(0xFFFFFF) << 40U;
/// Keeps stream numbers below the reserved range.
constexpr auto streamMask = ~(std::uint64_t(1) << 63U);

inline auto isOffset(const service_total &total) -> bool
{
    return total.router >= firstReservedNumber;
}

} // namespace totals_exchange_detail

template<peer_network Network>
totals_exchange<Network>::totals_exchange(Network &network, share_ledger &ledger, totals_exchange_settings limits)
    : m_network(network)
    , m_ledger(ledger)
    , m_limits(limits)
{
}

template<peer_network Network>
auto totals_exchange<Network>::setServices(std::vector<object_id> services) -> void
{
    m_services = std::move(services);
}

template<peer_network Network>
auto totals_exchange<Network>::setAccountFilter(account_filter filter) -> void
{
    m_accountFilter = std::move(filter);
}

template<peer_network Network>
auto totals_exchange<Network>::streamNumber(const std::string &dataCentre) const -> incarnation_id
{
    return hash64(dataCentre, m_network.self().incarnation) & totals_exchange_detail::streamMask;
}

template<peer_network Network>
auto totals_exchange<Network>::receive(incarnation_id from, const wire::Envelope &message) -> void
{
    if (message.totals_size() == 0) {
        return;
    }
    auto why = last_reason();
    const auto senderDataCentre = findDataCentre(from);
    if (senderDataCentre.empty()) {
        return;
    }
    const auto isLocal = senderDataCentre == m_network.self().dataCentre;
    const auto countsFromZero = isLocal && isNewRouter(from);
    auto merged = std::vector<service_total>();
    for (const auto &part : message.totals()) {
        const auto total = decodeTotal(part, std::to_string(from), why);
        if (!total) {
            continue;
        }
        if (totals_exchange_detail::isOffset(*total)) {
            m_receivedOffsets[senderDataCentre][{ total->router, total->account }] = total->cost;
            merged.push_back(*total);
            continue;
        }
        merged.push_back(*total);
        if (!isLocal) {
            m_remoteStreams.insert(total->router);
        } else if (total->router == from) {
            addToOutgoing(*total, part.rebase() && !countsFromZero);
        }
    }
    m_ledger.merge(merged);
}

template<peer_network Network>
auto totals_exchange<Network>::addToOutgoing(const service_total &total, bool rebase) -> void
{
    const auto delta = m_localDeltas.takeDelta(total, rebase);
    if (m_accountFilter && !m_accountFilter(total.account)) {
        return;
    }
    for (auto &[dataCentre, outgoing] : m_outgoing) {
        if (outgoing.active) {
            outgoing.sum.add(total.account, delta);
        }
    }
}

/// Returns the data centre of a live member, or an empty string. The cache avoids copying all members for each message,
/// which costs more than handling the message.
template<peer_network Network>
auto totals_exchange<Network>::findDataCentre(incarnation_id router) -> std::string
{
    if (!m_memberDataCentres.contains(router)) {
        updateDataCentres(m_network.members());
    }
    const auto known = m_memberDataCentres.find(router);
    return known == m_memberDataCentres.end() ? std::string() : known->second;
}

/// Whether \p from sends totals for the first time and started after this router, so that its totals count from 0.
template<peer_network Network>
auto totals_exchange<Network>::isNewRouter(incarnation_id from) -> bool
{
    // The lowest incarnations are removed first, and do not return.
    constexpr auto maxKnownSources = std::size_t(4'096);
    const auto isFirst = m_knownSources.insert(from).second;
    if (m_knownSources.size() > maxKnownSources) {
        m_knownSources.erase(m_knownSources.begin());
    }
    return isFirst && from > m_network.self().incarnation;
}

template<peer_network Network>
auto totals_exchange<Network>::onMemberLost(incarnation_id router) -> void
{
    const auto target = m_targets.find(router);
    m_sentOffsetSerials.erase(router);
    if (target != m_targets.end()) {
        target->second.sentSerial = 0; // The last message may not have arrived.
    }
    for (auto &[dataCentre, outgoing] : m_outgoing) {
        outgoing.sentSerial = outgoing.counterpart == router ? 0 : outgoing.sentSerial;
    }
}

template<peer_network Network>
auto totals_exchange<Network>::updateDataCentres(const std::vector<member> &live) -> void
{
    m_memberDataCentres.clear();
    for (const auto &router : live) {
        m_memberDataCentres[router.incarnation] = router.dataCentre;
        if (router.dataCentre != m_network.self().dataCentre) {
            m_dataCentres.insert(router.dataCentre);
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::localTargets(const std::vector<member> &live) const -> std::set<incarnation_id>
{
    const auto &self = m_network.self();
    auto targets = std::set<incarnation_id>();
    const auto own = groupByDataCentre(live)[self.dataCentre];
    for (const auto service : m_services) {
        targets.insert(findRoleHolder(own, dispatcherRole({ self.dataCentre, service })));
    }
    for (const auto &otherDataCentre : m_dataCentres) {
        targets.insert(findRoleHolder(own, gatewayRole(self.dataCentre, otherDataCentre)));
    }
    targets.erase(self.incarnation);
    targets.erase(0);
    return targets;
}

template<peer_network Network>
auto totals_exchange<Network>::addOffsets(const std::string &dataCentre, const std::vector<service_total> &changed,
                                          wire::Envelope &out) -> void
{
    const auto &received = m_receivedOffsets[dataCentre];
    for (const auto &total : changed) {
        const auto known = received.find({ total.router, total.account });
        const auto isKnown = known != received.end() && known->second >= total.cost;
        if (totals_exchange_detail::isOffset(total) && !isKnown) {
            encode(total, *out.add_totals());
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::sendToTarget(incarnation_id to, local_target &target) -> void
{
    const auto &self = m_network.self();
    auto message = std::make_unique<wire::Envelope>();
    auto next = target;
    const auto changed = m_ledger.totalsSince(target.sentSerial, next.sentSerial);
    for (const auto &total : changed) {
        const auto isOwn = total.router == self.incarnation;
        if (isOwn || m_remoteStreams.contains(total.router)) {
            auto &part = *message->add_totals();
            encode(total, part);
            part.set_rebase(isOwn && target.rebase);
        }
    }
    addOffsets(self.dataCentre, changed, *message);
    next.rebase = false;
    if (message->totals_size() == 0 || m_network.send(to, std::move(message))) {
        target = std::move(next);
    }
}

template<peer_network Network>
auto totals_exchange<Network>::sendLocally(const std::vector<member> &live) -> void
{
    const auto targets = localTargets(live);
    std::erase_if(m_targets, [&](const auto &item) {
        const auto isAlive = std::any_of(live.begin(), live.end(),
                                         [&](const member &router) { return router.incarnation == item.first; });
        // Its role moved. A target that is lost may return and keeps its entry.
        return isAlive && !targets.contains(item.first);
    });
    for (const auto to : targets) {
        sendToTarget(to, m_targets[to]);
    }
}

template<peer_network Network>
auto totals_exchange<Network>::updateOutgoingStreams(const std::vector<member> &live,
                                                     const std::vector<member> &remoteCounterparts) -> void
{
    const auto &self = m_network.self();
    const auto own = groupByDataCentre(live)[self.dataCentre];
    for (const auto &otherDataCentre : m_dataCentres) {
        const auto initial = outgoing_stream{ aggregated_totals(streamNumber(otherDataCentre)) };
        auto &outgoing = m_outgoing.try_emplace(otherDataCentre, initial).first->second;
        outgoing.active = findRoleHolder(own, gatewayRole(self.dataCentre, otherDataCentre)) == self.incarnation;
    }
    for (const auto &to : remoteCounterparts) {
        auto &outgoing = m_outgoing.at(to.dataCentre);
        if (outgoing.counterpart != to.incarnation) {
            outgoing.counterpart = to.incarnation;
            outgoing.sentSerial = 0;
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::sendToCounterpart(const member &to, outgoing_stream &outgoing) -> void
{
    auto message = std::make_unique<wire::Envelope>();
    auto sentSerial = outgoing.sentSerial;
    for (const auto &total : outgoing.sum.changedSince(sentSerial, sentSerial)) {
        encode(total, *message->add_totals());
    }
    auto sentOffsetSerial = m_sentOffsetSerials[to.incarnation];
    addOffsets(to.dataCentre, m_ledger.totalsSince(sentOffsetSerial, sentOffsetSerial), *message);
    if (message->totals_size() == 0 || m_network.send(to.incarnation, std::move(message))) {
        outgoing.sentSerial = sentSerial;
        m_sentOffsetSerials[to.incarnation] = sentOffsetSerial;
    }
}

template<peer_network Network>
auto totals_exchange<Network>::sendToCounterparts(const std::vector<member> &live, time_point now) -> void
{
    const auto &self = m_network.self();
    const auto remoteCounterparts = counterparts(live, self);
    updateOutgoingStreams(live, remoteCounterparts);
    for (const auto &total : m_ledger.totalsSince(m_ownCountedSerial, m_ownCountedSerial)) {
        if (total.router == self.incarnation) {
            addToOutgoing(total, false);
        }
    }
    for (const auto &to : remoteCounterparts) {
        auto &outgoing = m_outgoing.at(to.dataCentre);
        if (now >= outgoing.nextSend) {
            outgoing.nextSend =
                now + (to.region == self.region ? m_limits.sameRegionPeriod : m_limits.crossRegionPeriod);
            sendToCounterpart(to, outgoing);
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::tick(time_point now) -> void
{
    if (now < m_nextLocal) {
        return;
    }
    m_nextLocal = now + m_limits.localPeriod;
    const auto live = m_network.members();
    updateDataCentres(live);
    sendLocally(live);
    sendToCounterparts(live, now);
}

} // namespace marjoramloom
