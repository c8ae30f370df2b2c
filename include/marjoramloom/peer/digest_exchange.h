#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/peer/digest_changes.h"
#include "marjoramloom/peer/peer_network.h"

#include <functional>
#include <map>
#include <set>

namespace marjoramloom {

/// Periods of digests between data centres.
struct digest_exchange_settings
{
    duration near = std::chrono::milliseconds(1'000); ///< Between data centres of a region.
    duration far = std::chrono::milliseconds(2'000); ///< Between regions.
    duration expiry = std::chrono::seconds(5); ///< A digest not renewed for so long is passed on no more.
    double serviceStep = 100; ///< Smaller changes of an account's service are not sent, weighted tokens.
};

/// Carries the dispatchers' digests to the dispatchers of the same service in the other data centres.
///
/// A dispatcher tells the gateways of its data centre; each gateway tells its counterpart, at a period that depends on
/// the distance; the counterpart tells the dispatcher there. Every step sends changes only. So a pair of data centres
/// has one stream of digests, whatever their size. Belongs to the decision strand.
template<peer_network Network>
class digest_exchange
{
public:
    using digest_handler = std::function<void(const pool_digest &digest)>;

    /// Precondition: \p network outlives the exchange; \p onDigest gets digests of other data centres.
    digest_exchange(Network &network, digest_exchange_settings limits, digest_handler onDigest);

    /// The digest of a pool whose dispatcher this router holds.
    auto publish(const pool_digest &digest, time_point now) -> void;

    /// Handles other routers' digests and requests.
    auto receive(incarnation_id from, const wire::Envelope &message, time_point now) -> void;

    /// A member came, changed or went: what it knows is uncertain.
    auto onMember(incarnation_id who) -> void;

    /// Sends to counterparts what is due. To be called several times a second.
    auto tick(time_point now) -> void;

private:
    using stream_key = std::pair<incarnation_id, pool_id>;

    struct kept_digest
    {
        pool_digest digest;
        time_point when;
    };

    auto send(incarnation_id to, const pool_digest &digest, wire::Envelope &message) -> void;
    auto sendOne(incarnation_id to, const pool_digest &digest) -> void;
    auto take(incarnation_id from, const pool_digest &digest, time_point now) -> void;
    auto gatewaysOfOwn(const std::vector<member> &live) const -> std::set<incarnation_id>;

    Network &m_network;
    digest_exchange_settings m_limits;
    digest_handler m_onDigest;
    std::map<stream_key, digest_encoder> m_encoders;
    std::map<stream_key, digest_decoder> m_decoders;
    std::map<pool_id, kept_digest> m_own; ///< Of this data centre's pools, to be told to counterparts.
    std::map<incarnation_id, time_point> m_nextSend; ///< By counterpart.
};

} // namespace marjoramloom

#include "marjoramloom/peer/digest_exchange.inl"
