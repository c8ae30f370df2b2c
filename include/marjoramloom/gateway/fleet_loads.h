#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Load that one router puts on one run of an engine.
struct engine_share
{
    std::uint64_t server = 0; ///< Hash of the run.
    std::uint32_t running = 0;
    std::uint32_t unreadTokens = 0;
};

/// Work that one router began for a client account over the accounting window.
struct account_share
{
    std::uint64_t account = 0; ///< Hash of the name.
    std::uint32_t startedTokens = 0;
};

/// State of one router at one time, as it tells it to the others.
struct load_snapshot
{
    std::uint64_t router = 0; ///< Incarnation.
    std::uint64_t sequence = 0;
    std::vector<engine_share> engines;
    std::vector<account_share> accounts;
};

/// What the other routers say of their loads, added up.
///
/// A router that falls silent counts no longer: its requests end with it, or it is cut off and nothing better is known.
/// Not thread safe.
class fleet_loads
{
public:
    /// Reports come several times a second; this many are missed before a router counts as silent.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(700);

    /// Takes over a report; an older one than seen before is dropped. False where it was dropped.
    auto take(load_snapshot snapshot, time_point now) -> bool;

    /// The router \p incarnation stops.
    auto drop(std::uint64_t incarnation) -> void;

    /// Forgets silent routers. Call before reading sums.
    auto expire(time_point now) -> void;

    /// Load that the others put on a run of an engine.
    [[nodiscard]] auto onEngine(std::uint64_t server) const -> engine_share;

    /// Work that the others began for an account.
    [[nodiscard]] auto ofAccount(std::uint64_t account) const -> account_share;

    /// Tokens that the others started for all accounts over the accounting window.
    [[nodiscard]] auto startedTokens() const -> std::uint64_t;

private:
    struct heard_router
    {
        load_snapshot snapshot;
        time_point heardAt;
    };

    auto count(const load_snapshot &snapshot, bool adds) -> void;

    std::unordered_map<std::uint64_t, heard_router> m_routers;
    std::unordered_map<std::uint64_t, engine_share> m_engines; ///< Sums over m_routers.
    std::unordered_map<std::uint64_t, account_share> m_accounts;
    std::uint64_t m_started = 0;
};

} // namespace marjoramloom
