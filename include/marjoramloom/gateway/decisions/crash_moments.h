#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace marjoramloom {

/// Groups the crashes of engines by time. Engines that crash within a short time of each other mostly have a common
/// cause, such as the loss of a rack or of connections, so together they count as one moment.
///
/// Not thread safe.
class crash_moments
{
public:
    /// Engines that crash within this time belong to one moment.
    static constexpr duration LENGTH = std::chrono::milliseconds(250);
    /// Number of engines from which on crashes within LENGTH are a common failure.
    static constexpr std::size_t COMMON_FAILURE_ENGINES = 3;
    static constexpr std::size_t MAX_MOMENTS = 256;
    static constexpr duration LIFETIME = std::chrono::minutes(10);

    /// The moment in which the engine's incarnation \p engine crashed, as a number that ascends from 1. A crash that is
    /// \p repeated, that of an engine to which a request moved from another one that had crashed, is a moment of its
    /// own: the request may be the cause of both.
    auto note(std::uint64_t engine, bool repeated, time_point now) -> std::uint64_t;

    /// Start of the moment; the earliest time if it is no longer known.
    [[nodiscard]] auto startOf(std::uint64_t moment) const -> time_point;

    [[nodiscard]] auto isKnown(std::uint64_t moment) const -> bool;

    /// Whether so many engines crashed at about the time of the moment that they are likely to have another cause than
    /// a request.
    [[nodiscard]] auto isCommonFailure(std::uint64_t moment) const -> bool;

private:
    struct moment_entry
    {
        std::uint64_t number = 0;
        time_point start{};
        std::vector<std::uint64_t> engines; ///< At most MAX_ENGINES.
        bool repeated = false; ///< Of an engine that crashed after another one by the same request.
        bool isCommonFailure = false;
    };

    static constexpr std::size_t MAX_ENGINES = 32;

    auto findCommonFailures(time_point time) -> void;
    [[nodiscard]] auto find(std::uint64_t moment) const -> const moment_entry *;

    std::deque<moment_entry> m_moments; ///< In the order of their numbers.
    std::uint64_t m_lastNumber = 0;
};

} // namespace marjoramloom
