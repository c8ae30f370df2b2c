#pragma once

#include "marjoramloom/contract/configuration_store.h"
#include "marjoramloom/peer/peer_network.h"

#include <map>

namespace marjoramloom {

/// Keeps the configuration of all routers at the highest sequence that any of them has.
///
/// Every change is pushed once along relayTargets(). Whoever still hears of a higher sequence than its own in a
/// heartbeat asks its owner for what is missing, and gets changes or a snapshot; so a router that starts empty needs no
/// platform. The store applies in strict order, so nothing here can make it go back. Belongs to the decision strand.
template<peer_network Network>
class configuration_relay
{
public:
    /// Precondition: both outlive the relay.
    configuration_relay(Network &network, configuration_store &store);

    /// The store moved on, by whatever source: to be called on the decision strand after each change.
    auto onApplied(std::uint64_t sequence) -> void;

    /// Handles other routers' changes and requests.
    auto receive(incarnation_id from, const wire::Envelope &message) -> void;

    /// Asks for what is missing. To be called several times a second.
    auto tick(time_point now) -> void;

private:
    auto answer(incarnation_id to, std::uint64_t after, std::size_t limit) -> void;
    auto push(incarnation_id heardFrom, std::uint64_t after) -> void;

    Network &m_network;
    configuration_store &m_store;
    std::uint64_t m_pushed = 0; ///< Sequence up to which the others were told.
    std::map<std::uint64_t, incarnation_id> m_heardFrom; ///< Who told of a sequence that is not pushed yet.
    time_point m_nextRequest;
    std::uint64_t m_requests = 0;
    bool m_caughtUp = false; ///< Once; afterwards a lag of a moment does not make the router unready.
};

} // namespace marjoramloom

#include "marjoramloom/peer/configuration_relay.inl"
