#pragma once

#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <unordered_map>

namespace marjoramloom {

/// What becomes of an envelope by its number.
enum class arrival {
    next, ///< In order: to be handled.
    repeated, ///< Handled before.
    gap, ///< Something before it got lost; the sender is asked for it.
    oldStream, ///< Of a stream that was given up.
};

template<>
struct enum_names<arrival>
{
    static constexpr std::array table{
        enum_name<arrival>{ arrival::next, "next" },
        enum_name<arrival>{ arrival::repeated, "repeated" },
        enum_name<arrival>{ arrival::gap, "gap" },
        enum_name<arrival>{ arrival::oldStream, "old_stream" },
    };
};

/// The receiving side of the links from all peers: takes each envelope once and in order. Not thread safe.
class inbound_streams
{
public:
    /// How far one sender was heard.
    struct position
    {
        std::uint64_t stream = 0;
        std::uint64_t heard = 0;
        bool gap = false; ///< Something after `heard` is missing.
    };

    /// Judges the envelope \p sequence of \p stream, and counts it as heard where it is the next one.
    auto arrive(incarnation_id sender, std::uint64_t stream, std::uint64_t sequence) -> arrival;

    [[nodiscard]] auto of(incarnation_id sender) const -> position;

    /// Forgets a sender that is gone for good.
    auto forget(incarnation_id sender) -> void;

private:
    std::unordered_map<incarnation_id, position> m_positions;
};

} // namespace marjoramloom
