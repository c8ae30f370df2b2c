#pragma once

#include "marjoramloom/core/boot_clock.h"

#include <chrono>
#include <optional>

namespace marjoramloom {

/// Tracks since when the platform's store has answered without interruption, as seen by any router.
///
/// A router that gets no answers cannot tell an outage of the store from a fault of its own connection. Routers
/// therefore tell each other when the store answered them: it was available throughout if one of them got answers all
/// the time. Only answers of the store extend the interval, so routers cannot confirm each other without one. Not
/// thread safe.
class store_contact
{
public:
    /// Longest time between two answers that does not count as an interruption: one long poll and its answer.
    static constexpr std::chrono::milliseconds MAX_GAP{ 1'800 };

    /// An interval in which the store answered.
    struct interval
    {
        boot_time since;
        boot_time until; ///< Time of the last known answer.
    };

    /// Records an answer of the store to this router.
    auto noteAnswer(boot_time now) -> void;

    /// Records that the store answered another router during \p answered.
    auto noteInterval(const interval &answered) -> void;

    /// The latest interval without interruption; nothing before the first answer.
    [[nodiscard]] auto latest() const -> const std::optional<interval> &;

private:
    std::optional<interval> m_latest;
};

} // namespace marjoramloom
