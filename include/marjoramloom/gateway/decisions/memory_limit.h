#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace marjoramloom {

/// On whose behalf a router chooses an engine, which decides how much of the engine's memory it may commit.
enum class memory_scope {
    dispatcher, ///< For the fleet: it knows what the other routers commit.
    alone, ///< For itself, as no dispatcher answered: what the others commit is unknown to it.
};

/// The part of an engine's KV memory that placements may commit.
///
/// An engine whose requests exceed its memory crashes. A dispatcher treats the memory of routers that it knows nothing
/// of as held: each has an equal share. It leaves a reserve, which at each engine belongs to one router; a router that
/// decides alone commits no more than this. Thread safe: stateless.
class memory_limit
{
public:
    /// Tokens that a dispatcher may commit at an engine with \p kvTokens, if it knows what the fraction \p
    /// knownFraction of the routers commits.
    [[nodiscard]] static auto ofDispatcher(std::uint64_t kvTokens, double knownFraction) -> std::uint64_t;

    /// Tokens that \p router, which decides alone, may commit at the engine \p server beside \p others.
    [[nodiscard]] static auto ofRouter(std::uint64_t kvTokens, std::string_view server, std::uint64_t router,
                                       const std::vector<std::uint64_t> &others) -> std::uint64_t;

    /// Whether a request that commits \p tokens fits into an empty engine with \p kvTokens; true if that is unknown
    /// (0).
    [[nodiscard]] static auto canEverFit(std::uint64_t kvTokens, std::uint64_t tokens) -> bool;

private:
    /// Holds one long prompt at the least engine memory in use, 225,485 tokens.
    static constexpr double RESERVE_FRACTION = 0.1;
};

} // namespace marjoramloom
