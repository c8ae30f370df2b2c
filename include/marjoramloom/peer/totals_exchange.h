#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/peer/growth_sum.h"
#include "marjoramloom/peer/peer_network.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramloom {

/// Periods of service totals.
struct totals_exchange_settings
{
    duration local = std::chrono::milliseconds(500); ///< Within a data centre.
    duration near = std::chrono::milliseconds(1'000); ///< Between data centres of a region.
    duration far = std::chrono::milliseconds(2'000); ///< Between regions.
};

/// Carries service totals to the dispatchers that need them.
///
/// Within a data centre each router tells the dispatchers and the gateways its own totals, exactly. Between data
/// centres a gateway tells its counterpart one sum per account (what grew while it held the duty), and the counterpart
/// tells its own dispatchers. So no message grows with routers times accounts. What grows between the last word of a
/// gateway that died and the first look of its successor is not counted abroad, and what grows while two routers hold
/// the duty is counted twice: in either case at most what is served within one period and the time to notice. Belongs
/// to the decision strand.
template<peer_network Network>
class totals_exchange
{
public:
    using account_filter = std::function<bool(object_id account)>;

    /// Precondition: \p network and \p ledger outlive the exchange.
    totals_exchange(Network &network, share_ledger &ledger, totals_exchange_settings limits);

    /// Services whose dispatchers of this data centre are told.
    auto setServices(std::vector<object_id> services) -> void;

    /// Accounts whose use matters to other data centres; without a filter all do.
    auto setFilter(account_filter filter) -> void;

    /// Merges other routers' totals into the ledger.
    auto receive(incarnation_id from, const wire::Envelope &message) -> void;

    /// A member is gone: what was on its way to it may be lost.
    auto onLost(incarnation_id who) -> void;

    /// Sends what is due. To be called several times a second.
    auto tick(time_point now) -> void;

private:
    /// What this gateway counts in its own data centre for another one.
    struct outgoing_stream
    {
        growth_sum sum;
        bool active = false; ///< This router is the gateway.
        incarnation_id counterpart = 0; ///< Who is told.
        std::uint64_t told = 0; ///< Serial of the sum up to which it was told.
        time_point nextSend{};
    };

    /// What a router of the own data centre was told.
    struct local_target
    {
        std::uint64_t told = 0; ///< Ledger serial.
        bool rebase = true; ///< Its count of this router's growth begins with the next word.
    };

    using total_key = std::pair<incarnation_id, object_id>;

    auto placeOf(incarnation_id who) -> std::string;
    auto isNewcomer(incarnation_id from) -> bool;
    [[nodiscard]] auto streamNumber(const std::string &dataCentre) const -> incarnation_id;
    auto countForOthers(const service_total &total, bool rebase) -> void;
    auto noteDataCentres(const std::vector<member> &live) -> void;
    [[nodiscard]] auto localTargets(const std::vector<member> &live) const -> std::set<incarnation_id>;
    auto tellLocally(const std::vector<member> &live) -> void;
    auto tellTarget(incarnation_id to, local_target &target) -> void;
    auto refreshStreams(const std::vector<member> &live, const std::vector<member> &mine) -> void;
    auto tellCounterparts(const std::vector<member> &live, time_point now) -> void;
    auto tellCounterpart(const member &to, outgoing_stream &outgoing) -> void;
    auto addOffsets(const std::string &dataCentre, const std::vector<service_total> &grown, wire::Envelope &out)
        -> void;

    Network &m_network;
    share_ledger &m_ledger;
    totals_exchange_settings m_limits;
    std::vector<object_id> m_services;
    account_filter m_filter;
    std::map<incarnation_id, local_target> m_targets;
    std::map<incarnation_id, std::uint64_t> m_toldOffsets; ///< Ledger serial up to which a counterpart was told.
    std::map<std::string, std::map<total_key, double>> m_offsetsHeard; ///< By data centre.
    std::set<incarnation_id> m_heard; ///< Members of the own data centre whose totals were heard.
    growth_tracker m_local;
    std::uint64_t m_selfCounted = 0; ///< Ledger serial up to which this router's own totals were counted for others.
    std::map<std::string, outgoing_stream> m_outgoing;
    std::set<incarnation_id> m_remoteStreams; ///< Heard from counterparts, to be told to the own data centre.
    std::map<incarnation_id, std::string> m_places; ///< Data centres of the live members, as of the last look.
    std::set<std::string> m_dataCentres; ///< The other ones that were ever seen, also while they are cut off.
    time_point m_nextLocal;
};

} // namespace marjoramloom

#include "marjoramloom/peer/totals_exchange.inl"
