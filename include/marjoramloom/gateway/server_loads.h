#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/listed_server.h"
#include "marjoramloom/gateway/part_memory.h"
#include "marjoramloom/gateway/routed_request.h"

#include <cstdint>
#include <unordered_map>

namespace marjoramloom {

/// What this router knows of the load of one run of a backend server.
struct server_load
{
    std::uint32_t running = 0; ///< Own requests at the server.
    std::uint64_t unreadTokens = 0; ///< Prompt tokens of own requests that the server has still to read.
    std::uint32_t failuresInRow = 0;
    time_point avoidedUntil{}; ///< After failures, others go first until then.
    std::uint64_t suspectedBy = 0; ///< Router that last said that the server failed a request.
    time_point suspectedAt{};
    part_memory parts;

    [[nodiscard]] auto isAvoided(time_point now) const -> bool
    {
        return now < avoidedUntil;
    }
};

/// Loads of all backend servers, by their runs. Not thread safe.
class server_loads
{
public:
    /// Number of a run of a backend server, equal on every router.
    [[nodiscard]] static auto runId(const listed_server &server) -> std::uint64_t;

    /// The load of \p server; made on first use. The reference is valid until forget().
    auto at(const listed_server &server) -> server_load &;

    /// The load of the run \p id, or null where nothing is known of it.
    [[nodiscard]] auto find(std::uint64_t id) -> server_load *;

    [[nodiscard]] auto all() const -> const std::unordered_map<std::uint64_t, server_load> &;

    /// Drops what is known of \p server once nothing runs there any more.
    auto forget(const listed_server &server) -> void;

    /// A request failed at \p server in a way that tells of the server rather than of the request.
    auto noteFailure(const listed_server &server, time_point now) -> void;

    /// The router \p router says that a request failed at the run \p id. It counts as a failure once two routers say so
    /// within SUSPICION_TIME: one alone may be what is cut off.
    auto noteSuspicion(std::uint64_t id, std::uint64_t router, time_point now) -> void;

    /// The server answered as it should.
    auto noteSuccess(const listed_server &server) -> void;

    static constexpr duration SUSPICION_TIME = std::chrono::milliseconds(1'000);

private:
    auto avoid(server_load &load, time_point now) -> void;

    static constexpr duration AVOID_BASE = std::chrono::milliseconds(250); ///< Doubles with each failure in a row.
    static constexpr duration AVOID_LIMIT = std::chrono::milliseconds(4'000);

    std::unordered_map<std::uint64_t, server_load> m_loads; ///< By runId().
};

} // namespace marjoramloom
