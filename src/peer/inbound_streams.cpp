#include "marjoramloom/peer/inbound_streams.h"

namespace marjoramloom {

auto inbound_streams::arrive(incarnation_id sender, std::uint64_t stream, std::uint64_t sequence) -> arrival
{
    auto &known = m_positions[sender];
    if (stream < known.stream) {
        return arrival::oldStream;
    }
    if (stream > known.stream) {
        known = position{ stream, 0, false };
    }
    if (sequence <= known.heard) {
        return arrival::repeated;
    }
    if (sequence != known.heard + 1) {
        known.gap = true;
        return arrival::gap;
    }
    known.heard = sequence;
    known.gap = false;
    return arrival::next;
}

auto inbound_streams::of(incarnation_id sender) const -> position
{
    const auto known = m_positions.find(sender);
    return known == m_positions.end() ? position{} : known->second;
}

auto inbound_streams::forget(incarnation_id sender) -> void
{
    m_positions.erase(sender);
}

} // namespace marjoramloom
