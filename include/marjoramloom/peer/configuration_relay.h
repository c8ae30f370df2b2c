#pragma once

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/peer/peer_network.h"

#include <map>

namespace marjoramloom {

/// Brings the configuration of all routers to the highest sequence that any of them has.
///
/// Each applied change is sent once to the routers in relayTargets(). A router that sees a higher sequence than its own
/// in another router's heartbeat requests the missing changes and receives them, so a router that starts empty does not
/// need the platform. The store applies changes in strict sequence order, so the relay cannot revert the configuration.
/// All functions must be called on the decision strand.
template<peer_network Network>
class configuration_relay
{
public:
    /// Precondition: \p network and \p store outlive the relay.
    configuration_relay(Network &network, configuration_store &store);

    /// Relays the changes up to \p sequence. Must be called on the decision strand after each change that the store
    /// applied, whatever its source.
    auto onApplied(std::uint64_t sequence) -> void;

    /// Applies changes and answers requests for changes from other routers.
    auto receive(incarnation_id from, const wire::Envelope &message) -> void;

    /// Requests missing changes. Must be called several times a second.
    auto tick(time_point now) -> void;

private:
    auto sendChanges(incarnation_id to, std::uint64_t after, std::size_t limit) -> void;
    auto relayChanges(incarnation_id receivedFrom, std::uint64_t after) -> void;

    Network &m_network;
    configuration_store &m_store;
    std::uint64_t m_relayedSequence = 0; ///< Highest sequence that was relayed.
    /// Senders of changes that are not relayed yet, by sequence.
    std::map<std::uint64_t, incarnation_id> m_receivedFrom;
    time_point m_nextRequest;
    std::uint64_t m_requestCount = 0;
    bool m_caughtUp = false; ///< Set once and never cleared, so a short lag later does not make the router unready.
};

} // namespace marjoramloom

#include "marjoramloom/peer/configuration_relay.inl"
