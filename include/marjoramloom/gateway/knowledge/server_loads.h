#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/decisions/server_capacity.h"
#include "marjoramloom/gateway/knowledge/listed_server.h"
#include "marjoramloom/gateway/knowledge/prefix_cache_estimate.h"
#include "marjoramloom/gateway/traffic/routed_request.h"

#include <cstdint>
#include <unordered_map>

namespace marjoramloom {

/// Load and recent failures of one incarnation of a backend server, as this router knows them.
struct server_load
{
    std::uint32_t running = 0; ///< Requests of this router at the server.
    std::uint64_t pendingPrefillTokens = 0; ///< Of this router's prompts, tokens still to be prefilled there.
    std::uint64_t committedTokens = 0; ///< KV memory that this router's requests commit, each with all of its blocks.
    std::uint32_t consecutiveFailures = 0;
    time_point avoidedUntil{}; ///< After failures, other servers are preferred until then.
    std::uint64_t suspectedBy = 0; ///< Router that last reported a failed request at the server.
    time_point suspectedAt{};
    server_capacity capacity;
    prefix_cache_estimate prefixCache; ///< Prefix blocks that the server is assumed to have cached.

    [[nodiscard]] auto isAvoided(time_point now) const -> bool
    {
        return now < avoidedUntil;
    }

    /// Records that the server refused a request as it was full, with \p others requests there as far as known.
    auto noteFull(std::uint32_t others, time_point now) -> void
    {
        capacity.noteFull(others, FULL_PAUSE, now);
    }

    /// Time for which a server that was full gets no further requests if there are others.
    static constexpr duration FULL_PAUSE = std::chrono::milliseconds(30);
};

/// Loads of all backend servers, by incarnation. Not thread safe.
class server_loads
{
public:
    /// Id of an incarnation of a backend server: a hash, equal on every router.
    [[nodiscard]] static auto incarnationId(const listed_server &server) -> std::uint64_t;

    /// The load of \p server; created on first use. The reference is valid until forget().
    auto at(const listed_server &server) -> server_load &;

    /// The load of the incarnation \p id, or null if there is none.
    [[nodiscard]] auto find(std::uint64_t id) -> server_load *;

    [[nodiscard]] auto all() const -> const std::unordered_map<std::uint64_t, server_load> &;

    /// Removes the load of \p server unless this router still has requests there.
    auto forget(const listed_server &server) -> void;

    /// Records that a request failed at \p server for a reason that lies with the server rather than with the request.
    auto noteFailure(const listed_server &server, time_point now) -> void;

    /// Records that \p router reported a failed request at the incarnation \p id. It counts as a failure once two
    /// routers report one within SUSPICION_WINDOW, as a single router may itself be cut off.
    auto noteSuspicion(std::uint64_t id, std::uint64_t router, time_point now) -> void;

    /// Records that \p server answered a request successfully, which ends its avoidance.
    auto noteSuccess(const listed_server &server) -> void;

    static constexpr duration SUSPICION_WINDOW = std::chrono::milliseconds(1'000);

private:
    auto avoid(server_load &load, time_point now) -> void;

    /// Doubles with each further failure in a row.
    static constexpr duration INITIAL_AVOID_TIME = std::chrono::milliseconds(250);
    static constexpr duration MAX_AVOID_TIME = std::chrono::milliseconds(4'000);

    std::unordered_map<std::uint64_t, server_load> m_loads; ///< By incarnationId().
};

} // namespace marjoramloom
