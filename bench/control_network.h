#pragma once

#include "control_message.h"
#include "fleet.h"

namespace marjoramloom::bench {

/// Carries messages between routers: those for one receiver are sent together after a short while. Counts them, and
/// their bytes as the routers' codec writes them. Not thread safe.
class control_network
{
public:
    using receiver =
        std::function<void(std::uint32_t to, std::uint32_t from, const std::vector<control_message> &messages)>;

    /// Precondition: \p where outlives the network.
    control_network(fleet &where, receiver deliver);

    auto send(std::uint32_t from, std::uint32_t to, control_message message) -> void;

private:
    auto flush(std::uint32_t from, std::uint32_t to) -> void;

    fleet &m_fleet;
    receiver m_deliver;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<control_message>> m_outboxes;
};

} // namespace marjoramloom::bench
