#pragma once

#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <optional>

namespace marjoramloom {

/// Direction of a correction of an account's virtual service.
enum class offset_kind {
    lift,
    relief,
};

/// Reserved incarnation number under which lifts or reliefs of one service travel among service totals.
///
/// The upper 24 bits are set, so that a random incarnation meets the range once in 16 million restarts.
struct offset_key
{
    offset_kind kind = offset_kind::lift;
    object_id service;

    static constexpr auto mark = std::uint64_t(0xFFFFFF) << 40U;
    static constexpr auto reliefBit = std::uint64_t(1) << 39U;

    /// Precondition: the service's id is below 2^39, that is, under 500 million changes of configuration.
    [[nodiscard]] constexpr auto encode() const -> incarnation_id
    {
        return mark | (kind == offset_kind::relief ? reliefBit : 0) | service.value;
    }

    [[nodiscard]] static constexpr auto decode(incarnation_id router) -> std::optional<offset_key>
    {
        if ((router & mark) != mark) {
            return std::nullopt;
        }
        const auto kind = (router & reliefBit) != 0 ? offset_kind::relief : offset_kind::lift;
        return offset_key{ kind, object_id{ router & (reliefBit - 1) } };
    }
};

} // namespace marjoramloom
