#include "marjoramloom/peer/inbound_streams.h"

namespace marjoramloom {

auto inbound_streams::checkOrder(incarnation_id sender, std::uint64_t stream, std::uint64_t sequence) -> receive_order
{
    auto &known = m_positions[sender];
    if (stream < known.stream) {
        return receive_order::oldStream;
    }
    if (stream > known.stream) {
        known = position{ stream, 0, false };
    }
    if (sequence <= known.lastSequence) {
        return receive_order::repeated;
    }
    if (sequence != known.lastSequence + 1) {
        known.hasGap = true;
        return receive_order::gap;
    }
    known.lastSequence = sequence;
    known.hasGap = false;
    return receive_order::next;
}

auto inbound_streams::positionOf(incarnation_id sender) const -> position
{
    const auto known = m_positions.find(sender);
    return known == m_positions.end() ? position{} : known->second;
}

auto inbound_streams::removeSender(incarnation_id sender) -> void
{
    m_positions.erase(sender);
}

} // namespace marjoramloom
