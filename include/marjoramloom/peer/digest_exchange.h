#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/peer/digest_changes.h"
#include "marjoramloom/peer/peer_network.h"

#include <functional>
#include <map>
#include <set>

namespace marjoramloom {

/// Periods and thresholds of the digests sent between data centres.
struct digest_exchange_settings
{
    duration sameRegionPeriod = std::chrono::milliseconds(1'000); ///< Between data centres of one region.
    duration crossRegionPeriod = std::chrono::milliseconds(2'000); ///< Between regions.
    duration expiry = std::chrono::seconds(5); ///< A digest that was not updated for this time is no longer sent.
    double minServiceChange = 100; ///< Minimum change of an account's service that is sent, in weighted tokens.
};

/// Distributes the dispatchers' digests to the dispatchers of the same service in other data centres.
///
/// A dispatcher sends its digest to the gateways of its data centre. Each gateway forwards it to its counterpart in the
/// other data centre, at a period that depends on the distance, and the counterpart forwards it to the dispatcher
/// there. Only changes are sent on each hop. A pair of data centres therefore has one stream of digests per direction,
/// however many routers it has. All functions must be called on the decision strand.
template<peer_network Network>
class digest_exchange
{
public:
    using digest_handler = std::function<void(const pool_digest &digest)>;

    /// Precondition: \p network outlives the exchange. \p onDigest is called with each digest of another data centre.
    digest_exchange(Network &network, digest_exchange_settings limits, digest_handler onDigest);

    /// Sends the digest of a pool that this router dispatches to the gateways of its data centre.
    auto publish(const pool_digest &digest, time_point now) -> void;

    /// Handles digests and digest requests from other routers.
    auto receive(incarnation_id from, const wire::Envelope &message, time_point now) -> void;

    /// Forgets what was sent to and received from a member that joined, changed or was lost, so that full digests
    /// follow.
    auto onMember(incarnation_id peer) -> void;

    /// Sends digests to counterparts whose period has elapsed. Must be called several times a second.
    auto tick(time_point now) -> void;

private:
    using stream_key = std::pair<incarnation_id, pool_id>;

    /// A digest and the time when it was received or published.
    struct received_digest
    {
        pool_digest digest;
        time_point receivedAt;
    };

    auto addDigest(incarnation_id to, const pool_digest &digest, wire::Envelope &message) -> void;
    auto sendDigest(incarnation_id to, const pool_digest &digest) -> void;
    auto handleDigest(incarnation_id from, const pool_digest &digest, time_point now) -> void;
    auto localGateways(const std::vector<member> &live) const -> std::set<incarnation_id>;

    Network &m_network;
    digest_exchange_settings m_limits;
    digest_handler m_onDigest;
    std::map<stream_key, digest_encoder> m_encoders;
    std::map<stream_key, digest_decoder> m_decoders;
    /// Latest digests of this data centre's pools, which are sent to counterparts.
    std::map<pool_id, received_digest> m_localDigests;
    std::map<incarnation_id, time_point> m_nextSend; ///< Next send time by counterpart.
};

} // namespace marjoramloom

#include "marjoramloom/peer/digest_exchange.inl"
