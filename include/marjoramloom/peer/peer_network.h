#pragma once

#include "marjoramloom/peer/member.h"

#include <concepts>
#include <memory>
#include <vector>

namespace marjoramloom::wire {
class Envelope;
}

namespace marjoramloom {

/// Sends messages to other routers and receives their messages.
///
/// All functions must be called on the decision strand, and callbacks run there.
template<typename Network>
concept peer_network = requires(Network &network, incarnation_id to, std::unique_ptr<wire::Envelope> message)
{
    {
        network.send(to, std::move(message))
        } -> std::same_as<bool>;
    {
        network.members()
        } -> std::same_as<std::vector<member>>;
    {
        network.self()
        } -> std::convertible_to<const member &>;
};

} // namespace marjoramloom
