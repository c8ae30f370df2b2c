#pragma once

#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <optional>

namespace marjoramloom {

/// Whether an offset raises or reduces an account's virtual service.
enum class offset_kind {
    raise,
    reduction,
};

/// Reserved incarnation number that marks a service total as the offset of an account in one service.
///
/// The upper 24 bits are set, so a random incarnation collides with the range once in 16 million restarts.
struct offset_key
{
    offset_kind kind = offset_kind::raise;
    object_id service;

    static constexpr auto prefixMask = std::uint64_t(0xFFFFFF) << 40U;
    static constexpr auto reductionBit = std::uint64_t(1) << 39U;

    /// Precondition: the service's id is below 2^39; ids stay below it for 500 million configuration changes.
    [[nodiscard]] constexpr auto encode() const -> incarnation_id
    {
        return prefixMask | (kind == offset_kind::reduction ? reductionBit : 0) | service.value;
    }

    [[nodiscard]] static constexpr auto decode(incarnation_id router) -> std::optional<offset_key>
    {
        if ((router & prefixMask) != prefixMask) {
            return std::nullopt;
        }
        const auto kind = (router & reductionBit) != 0 ? offset_kind::reduction : offset_kind::raise;
        return offset_key{ kind, object_id{ router & (reductionBit - 1) } };
    }
};

} // namespace marjoramloom
