#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::wire {
class Envelope;
}

namespace marjoramloom {

/// A router as this one knows it.
struct member
{
    incarnation_id incarnation = 0;
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::string peerAddress; ///< IP:port.
    std::uint64_t configurationSequence = 0;
    bool leaving = false;
    bool ready = false;
    bool direct = false; ///< Heard on its own link, not through another member.
    duration age{}; ///< Since it was last heard.
};

/// Sends messages to other routers and hands over what they send.
///
/// Every function is to be called on the decision strand, and callbacks run there.
template<typename Network>
concept peer_network = requires(Network &network, incarnation_id to, std::unique_ptr<wire::Envelope> message)
{
    {
        network.send(to, std::move(message))
        } -> std::same_as<bool>;
    {
        network.members()
        } -> std::same_as<std::vector<member>>;
};

} // namespace marjoramloom
