#pragma once

#include "control_message.h"
#include "fleet.h"

namespace marjoramloom::bench {

/// Carries messages between simulated routers. Messages with the same sender and receiver are batched into an envelope;
/// envelopes and their encoded bytes are counted in the results. Not thread safe.
class control_network
{
public:
    using receive_handler =
        std::function<void(std::uint32_t to, std::uint32_t from, const std::vector<control_message> &messages)>;

    /// Precondition: \p simulatedFleet outlives the network.
    control_network(fleet &simulatedFleet, receive_handler deliver);

    auto send(std::uint32_t from, std::uint32_t to, control_message message) -> void;

private:
    auto flush(std::uint32_t from, std::uint32_t to) -> void;

    fleet &m_fleet;
    receive_handler m_deliver;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<control_message>> m_outboxes;
};

} // namespace marjoramloom::bench
