#pragma once

#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <unordered_map>

namespace marjoramloom {

/// Result of checking the sequence number of an envelope.
enum class receive_order {
    next, ///< In order and to be handled.
    repeated, ///< Was handled before.
    gap, ///< An earlier envelope was lost; the sender is asked to resend.
    oldStream, ///< Belongs to a stream that a newer one replaced.
};

template<>
struct enum_names<receive_order>
{
    static constexpr std::array table{
        enum_name<receive_order>{ receive_order::next, "next" },
        enum_name<receive_order>{ receive_order::repeated, "repeated" },
        enum_name<receive_order>{ receive_order::gap, "gap" },
        enum_name<receive_order>{ receive_order::oldStream, "old_stream" },
    };
};

/// Receiving side of the links from all peers. Accepts each envelope once and in order. Not thread safe.
class inbound_streams
{
public:
    /// The last envelope accepted from one sender.
    struct position
    {
        std::uint64_t stream = 0;
        std::uint64_t lastSequence = 0;
        bool hasGap = false; ///< An envelope after `lastSequence` is missing.
    };

    /// Checks the order of envelope \p sequence of \p stream, and records it as received where it is the next one.
    auto checkOrder(incarnation_id sender, std::uint64_t stream, std::uint64_t sequence) -> receive_order;

    [[nodiscard]] auto positionOf(incarnation_id sender) const -> position;

    /// Removes the state of a sender that is gone for good.
    auto removeSender(incarnation_id sender) -> void;

private:
    std::unordered_map<incarnation_id, position> m_positions;
};

} // namespace marjoramloom
