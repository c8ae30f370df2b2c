#pragma once

#include "marjoramloom/core/boot_clock.h"
#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace marjoramloom {

/// The backend servers that asked this router to send no requests for some time.
///
/// It protects a server that turns requests away from the cost of turning away those of the same router again and
/// again, and callers from a wait for an answer that is known in advance. The time runs on while the process or the
/// machine is suspended. A request for a pause says nothing about other routers and is not shared with them. Not thread
/// safe.
class server_pauses
{
public:
    /// Longer pauses are cut to this.
    static constexpr duration MAX_PAUSE = std::chrono::minutes(10);
    /// Beyond this number, the pauses that end first are forgotten.
    static constexpr std::size_t MAX_PAUSED_SERVERS = 4'096;

    /// Records that the server with the id \p incarnation (see server_loads::incarnationId()) asked at \p now for a
    /// pause. An earlier request for a pause that ends later stays in force. Precondition: \p pause is not negative.
    auto note(std::uint64_t incarnation, duration pause, boot_time now) -> void;

    /// How much longer the server may be sent no request; 0 if it may be.
    [[nodiscard]] auto remaining(std::uint64_t incarnation, boot_time now) const -> duration;

    /// How much longer none of \p servers may be sent a request; 0 if there is no server or one of them may be.
    [[nodiscard]] auto remainingForAll(std::span<const std::uint64_t> servers, boot_time now) const -> duration;

    /// Forgets the pauses that have ended. Call every few hundred milliseconds.
    auto tick(boot_time now) -> void;

    /// Number of pauses that are remembered, with those that ended since the last tick().
    [[nodiscard]] auto size() const -> std::size_t;

private:
    std::unordered_map<std::uint64_t, boot_time> m_ends; ///< End of the pause, by incarnation.
};

} // namespace marjoramloom
