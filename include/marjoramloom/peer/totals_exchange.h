#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/peer/aggregated_totals.h"
#include "marjoramloom/peer/peer_network.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramloom {

/// Periods of sending service totals.
struct totals_exchange_settings
{
    duration localPeriod = std::chrono::milliseconds(500); ///< Within a data centre.
    duration sameRegionPeriod = std::chrono::milliseconds(1'000); ///< Between data centres of one region.
    duration crossRegionPeriod = std::chrono::milliseconds(2'000); ///< Between regions.
};

/// Distributes service totals to the dispatchers that need them.
///
/// Within a data centre, each router sends its own exact totals to the dispatchers and gateways. Between data centres,
/// a gateway sends its counterpart one sum per account, of the increase while it held the gateway role, and the
/// counterpart forwards it to the dispatchers of its data centre. The size of a message therefore does not grow with
/// the product of routers and accounts.
///
/// The sums are approximate when the gateway role moves. Service between the last message of a gateway that died and
/// the first tick of its successor is not counted in other data centres, and service while two routers hold the role is
/// counted twice. In both cases the error is at most the service of one period plus the time to detect the loss.
///
/// Adjustments of an account's virtual service (raises and reductions) are sent as totals with reserved router numbers;
/// they are called offsets here. All functions must be called on the decision strand.
template<peer_network Network>
class totals_exchange
{
public:
    using account_filter = std::function<bool(object_id account)>;

    /// Precondition: \p network and \p ledger outlive the exchange.
    totals_exchange(Network &network, share_ledger &ledger, totals_exchange_settings limits);

    /// Sets the services whose dispatchers in this data centre receive totals.
    auto setServices(std::vector<object_id> services) -> void;

    /// Sets a filter that selects the accounts whose totals are sent to other data centres; without it all are.
    auto setAccountFilter(account_filter filter) -> void;

    /// Merges other routers' totals into the ledger.
    auto receive(incarnation_id from, const wire::Envelope &message) -> void;

    /// Schedules what was last sent to a lost member to be sent again, as it may not have arrived.
    auto onMemberLost(incarnation_id router) -> void;

    /// Sends totals whose period has elapsed. Must be called several times a second.
    auto tick(time_point now) -> void;

private:
    /// Increase of service in this data centre that is sent to one other data centre.
    struct outgoing_stream
    {
        aggregated_totals sum;
        bool active = false; ///< This router is the gateway to the data centre.
        incarnation_id counterpart = 0; ///< Receiver of the sums.
        std::uint64_t sentSerial = 0; ///< Serial of the sums up to which they were sent.
        time_point nextSend{};
    };

    /// What was sent to one router of this data centre.
    struct local_target
    {
        std::uint64_t sentSerial = 0; ///< Ledger serial up to which totals were sent.
        bool rebase = true; ///< The next totals become the receiver's baseline for this router.
    };

    using total_key = std::pair<incarnation_id, object_id>;

    auto findDataCentre(incarnation_id router) -> std::string;
    auto isNewRouter(incarnation_id from) -> bool;
    [[nodiscard]] auto streamNumber(const std::string &dataCentre) const -> incarnation_id;
    auto addToOutgoing(const service_total &total, bool rebase) -> void;
    auto updateDataCentres(const std::vector<member> &live) -> void;
    [[nodiscard]] auto localTargets(const std::vector<member> &live) const -> std::set<incarnation_id>;
    auto sendLocally(const std::vector<member> &live) -> void;
    auto sendToTarget(incarnation_id to, local_target &target) -> void;
    auto updateOutgoingStreams(const std::vector<member> &live, const std::vector<member> &remoteCounterparts) -> void;
    auto sendToCounterparts(const std::vector<member> &live, time_point now) -> void;
    auto sendToCounterpart(const member &to, outgoing_stream &outgoing) -> void;
    auto addOffsets(const std::string &dataCentre, const std::vector<service_total> &changed, wire::Envelope &out)
        -> void;

    Network &m_network;
    share_ledger &m_ledger;
    totals_exchange_settings m_limits;
    std::vector<object_id> m_services;
    account_filter m_accountFilter;
    std::map<incarnation_id, local_target> m_targets;
    /// Ledger serial up to which offsets were sent, by counterpart.
    std::map<incarnation_id, std::uint64_t> m_sentOffsetSerials;
    std::map<std::string, std::map<total_key, double>> m_receivedOffsets; ///< Received offsets by sending data centre.
    std::set<incarnation_id> m_knownSources; ///< Members of this data centre that sent totals.
    delta_tracker m_localDeltas;
    /// Ledger serial up to which this router's own totals were added to the outgoing streams.
    std::uint64_t m_ownCountedSerial = 0;
    std::map<std::string, outgoing_stream> m_outgoing;
    /// Router numbers of sums from counterparts, which are forwarded within this data centre.
    std::set<incarnation_id> m_remoteStreams;
    std::map<incarnation_id, std::string> m_memberDataCentres; ///< Data centres of the live members at the last update.
    std::set<std::string> m_dataCentres; ///< Other data centres ever seen, including those that are unreachable now.
    time_point m_nextLocal;
};

} // namespace marjoramloom

#include "marjoramloom/peer/totals_exchange.inl"
