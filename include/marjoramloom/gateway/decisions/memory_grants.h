#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/traffic/routed_request.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// KV memory that one request commits at its engine from its sending to its end, in tokens.
struct memory_commitment
{
    std::vector<prefix_block> shared; ///< Blocks that other requests may use, too.
    std::uint64_t ownTokens = 0; ///< The rest of the prompt, and the upper limit of the output.

    /// The commitment of a request that shares its blocks with no other one.
    [[nodiscard]] auto fullTokens() const -> std::uint64_t;

    [[nodiscard]] static auto of(const prompt_summary &prompt) -> memory_commitment;
};

/// The KV memory that a dispatcher granted to the requests of other routers, by engine. A shared block counts once,
/// however many requests use it.
///
/// Routers list the grants that they still hold in their reports. Those of a router that falls silent are kept for a
/// while, as its requests may still run. Not thread safe.
class memory_grants
{
public:
    /// A silent router is stopped or cut off; engines then end its requests, as their connections break.
    static constexpr duration LIFETIME = std::chrono::milliseconds(5'000);

    /// Grants \p router the memory at \p engine. Returns the grant's number: unique and ascending, from 1.
    auto add(std::uint64_t router, std::uint64_t engine, memory_commitment commitment, time_point now) -> std::uint64_t;

    /// Ends the grants of \p router up to \p last that it does not hold any more, and renews the others. Returns the
    /// sum of their fullTokens() at each engine.
    auto reconcile(std::uint64_t router, std::uint64_t last, const std::set<std::uint64_t> &held, time_point now)
        -> std::map<std::uint64_t, std::uint64_t>;

    /// Ends the grants of \p router, which stops.
    auto removeRouter(std::uint64_t router) -> void;

    /// Ends the grants that were not renewed for LIFETIME. Call before reading sums.
    auto expire(time_point now) -> void;

    /// Tokens granted at \p engine.
    [[nodiscard]] auto committedTokens(std::uint64_t engine) const -> std::uint64_t;

    /// Tokens that a request with \p commitment would add at \p engine: the blocks that others use there do not count.
    [[nodiscard]] auto additionalTokens(std::uint64_t engine, const memory_commitment &commitment) const
        -> std::uint64_t;

private:
    struct grant
    {
        std::uint64_t engine = 0;
        memory_commitment commitment;
        time_point renewedAt;
    };
    struct used_block
    {
        std::size_t users = 0;
        std::uint32_t tokens = 0; ///< As its first user stated it; callers may state different sizes.
    };
    struct engine_memory
    {
        std::uint64_t tokens = 0;
        std::size_t grants = 0;
        std::unordered_map<std::uint64_t, used_block> blocks; ///< The shared blocks in use.
    };

    auto subtract(const grant &ended) -> void;

    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, std::map<std::uint64_t, grant>> m_routers;
    std::unordered_map<std::uint64_t, engine_memory> m_engines;
    time_point m_lastExpiry{};
};

} // namespace marjoramloom
