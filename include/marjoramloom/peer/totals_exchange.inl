#include "marjoramloom/core/hash.h"
#include "marjoramloom/peer/duty.h"
#include "marjoramloom/peer/relay_plan.h"
#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"

#include <algorithm>

namespace marjoramloom {

namespace totals_exchange_detail {

/// Incarnation numbers from here on are reserved by the ledger for lifts and reliefs.
constexpr auto reservedFrom = incarnation_id(0xFFFFFF) << 40U;
/// Numbers of streams stay below the reserved range.
constexpr auto streamMask = ~(std::uint64_t(1) << 63U);

inline auto isOffset(const service_total &total) -> bool
{
    return total.router >= reservedFrom;
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
auto totals_exchange<Network>::setFilter(account_filter filter) -> void
{
    m_filter = std::move(filter);
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
    const auto live = m_network.members();
    const auto sender =
        std::find_if(live.begin(), live.end(), [&](const member &who) { return who.incarnation == from; });
    if (sender == live.end()) {
        return;
    }
    const auto isLocal = sender->dataCentre == m_network.self().dataCentre;
    const auto countsFromZero = isLocal && isNewcomer(from);
    auto merged = std::vector<service_total>();
    for (const auto &part : message.totals()) {
        const auto total = decodeTotal(part, std::to_string(from), why);
        if (!total) {
            continue;
        }
        if (totals_exchange_detail::isOffset(*total)) {
            m_offsetsHeard[sender->dataCentre][{ total->router, total->account }] = total->cost;
            merged.push_back(*total);
            continue;
        }
        merged.push_back(*total);
        if (!isLocal) {
            m_remoteStreams.insert(total->router);
        } else if (total->router == from) {
            countForOthers(*total, part.rebase() && !countsFromZero);
        }
    }
    m_ledger.merge(merged);
}

template<peer_network Network>
auto totals_exchange<Network>::countForOthers(const service_total &total, bool rebase) -> void
{
    const auto growth = m_local.growthOf(total, rebase);
    if (m_filter && !m_filter(total.account)) {
        return;
    }
    for (auto &[dataCentre, outgoing] : m_outgoing) {
        if (outgoing.active) {
            outgoing.sum.add(total.account, growth);
        }
    }
}

/// Whether \p from is heard for the first time and started after this router: then all its growth is to be counted.
template<peer_network Network>
auto totals_exchange<Network>::isNewcomer(incarnation_id from) -> bool
{
    constexpr auto mostRemembered = std::size_t(4'096); // The oldest go first, and won't come back.
    const auto isFirst = m_heard.insert(from).second;
    if (m_heard.size() > mostRemembered) {
        m_heard.erase(m_heard.begin());
    }
    return isFirst && from > m_network.self().incarnation;
}

template<peer_network Network>
auto totals_exchange<Network>::onLost(incarnation_id who) -> void
{
    const auto target = m_targets.find(who);
    m_toldOffsets.erase(who);
    if (target != m_targets.end()) {
        target->second.told = 0; // What was on its way may be lost.
    }
    for (auto &[dataCentre, outgoing] : m_outgoing) {
        outgoing.told = outgoing.counterpart == who ? 0 : outgoing.told;
    }
}

template<peer_network Network>
auto totals_exchange<Network>::noteDataCentres(const std::vector<member> &live) -> void
{
    for (const auto &who : live) {
        if (who.dataCentre != m_network.self().dataCentre) {
            m_dataCentres.insert(who.dataCentre);
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
        targets.insert(dutyHolder(own, dispatcherDuty({ self.dataCentre, service })));
    }
    for (const auto &other : m_dataCentres) {
        targets.insert(dutyHolder(own, gatewayDuty(self.dataCentre, other)));
    }
    targets.erase(self.incarnation);
    targets.erase(0);
    return targets;
}

template<peer_network Network>
auto totals_exchange<Network>::addOffsets(const std::string &dataCentre, const std::vector<service_total> &grown,
                                          wire::Envelope &out) -> void
{
    const auto &heard = m_offsetsHeard[dataCentre];
    for (const auto &total : grown) {
        const auto known = heard.find({ total.router, total.account });
        const auto isKnown = known != heard.end() && known->second >= total.cost;
        if (totals_exchange_detail::isOffset(total) && !isKnown) {
            encode(total, *out.add_totals());
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::tellTarget(incarnation_id to, local_target &target) -> void
{
    const auto &self = m_network.self();
    auto message = std::make_unique<wire::Envelope>();
    auto next = target;
    const auto grown = m_ledger.totalsSince(target.told, next.told);
    for (const auto &total : grown) {
        const auto isOwn = total.router == self.incarnation;
        if (isOwn || m_remoteStreams.contains(total.router)) {
            auto &part = *message->add_totals();
            encode(total, part);
            part.set_rebase(isOwn && target.rebase);
        }
    }
    addOffsets(self.dataCentre, grown, *message);
    next.rebase = false;
    if (message->totals_size() == 0 || m_network.send(to, std::move(message))) {
        target = std::move(next);
    }
}

template<peer_network Network>
auto totals_exchange<Network>::tellLocally(const std::vector<member> &live) -> void
{
    const auto targets = localTargets(live);
    std::erase_if(m_targets, [&](const auto &item) {
        const auto isAlive =
            std::any_of(live.begin(), live.end(), [&](const member &who) { return who.incarnation == item.first; });
        return isAlive && !targets.contains(item.first); // Its duty moved; one that is lost may come back.
    });
    for (const auto to : targets) {
        tellTarget(to, m_targets[to]);
    }
}

template<peer_network Network>
auto totals_exchange<Network>::refreshStreams(const std::vector<member> &live, const std::vector<member> &mine) -> void
{
    const auto &self = m_network.self();
    const auto own = groupByDataCentre(live)[self.dataCentre];
    for (const auto &other : m_dataCentres) {
        const auto fresh = outgoing_stream{ growth_sum(streamNumber(other)) };
        auto &outgoing = m_outgoing.try_emplace(other, fresh).first->second;
        outgoing.active = dutyHolder(own, gatewayDuty(self.dataCentre, other)) == self.incarnation;
    }
    for (const auto &to : mine) {
        auto &outgoing = m_outgoing.at(to.dataCentre);
        if (outgoing.counterpart != to.incarnation) {
            outgoing.counterpart = to.incarnation;
            outgoing.told = 0;
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::tellCounterpart(const member &to, outgoing_stream &outgoing) -> void
{
    auto message = std::make_unique<wire::Envelope>();
    auto told = outgoing.told;
    for (const auto &total : outgoing.sum.since(told, told)) {
        encode(total, *message->add_totals());
    }
    auto toldOffsets = m_toldOffsets[to.incarnation];
    addOffsets(to.dataCentre, m_ledger.totalsSince(toldOffsets, toldOffsets), *message);
    if (message->totals_size() == 0 || m_network.send(to.incarnation, std::move(message))) {
        outgoing.told = told;
        m_toldOffsets[to.incarnation] = toldOffsets;
    }
}

template<peer_network Network>
auto totals_exchange<Network>::tellCounterparts(const std::vector<member> &live, time_point now) -> void
{
    const auto &self = m_network.self();
    const auto mine = counterparts(live, self);
    refreshStreams(live, mine);
    for (const auto &total : m_ledger.totalsSince(m_selfCounted, m_selfCounted)) {
        if (total.router == self.incarnation) {
            countForOthers(total, false);
        }
    }
    for (const auto &to : mine) {
        auto &outgoing = m_outgoing.at(to.dataCentre);
        if (now >= outgoing.nextSend) {
            outgoing.nextSend = now + (to.region == self.region ? m_limits.near : m_limits.far);
            tellCounterpart(to, outgoing);
        }
    }
}

template<peer_network Network>
auto totals_exchange<Network>::tick(time_point now) -> void
{
    if (now < m_nextLocal) {
        return;
    }
    m_nextLocal = now + m_limits.local;
    const auto live = m_network.members();
    noteDataCentres(live);
    tellLocally(live);
    tellCounterparts(live, now);
}

} // namespace marjoramloom
