#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Load that the requests of one or more routers put on one incarnation of an engine.
struct engine_load
{
    std::uint64_t server = 0; ///< From server_loads::incarnationId().
    std::uint32_t running = 0; ///< Requests at the engine.
    std::uint32_t pendingPrefillTokens = 0; ///< Prompt tokens that the engine still has to prefill.
    std::uint32_t committedTokens = 0; ///< KV memory that the requests commit, each with all of its blocks.
};

/// Tokens that one or more routers sent to engines for a client account, over sliding_window_sum::LENGTH.
struct account_tokens
{
    std::uint64_t account = 0; ///< From account_usage::accountId().
    std::uint32_t startedTokens = 0;
};

/// Loads of one router at one point in time, as it reports them to the others.
struct load_snapshot
{
    std::uint64_t router = 0; ///< Its incarnation.
    std::uint64_t sequence = 0; ///< Increases with each report.
    std::vector<engine_load> engines;
    std::vector<account_tokens> accounts;
};

/// Sums of the loads that the other routers report.
///
/// A router that falls silent no longer counts: either it stopped and its requests ended with it, or it is cut off and
/// its load is unknown. Not thread safe.
class fleet_loads
{
public:
    /// A router counts as silent after this time, in which several of its reports are missing.
    static constexpr duration SILENCE_LIMIT = std::chrono::milliseconds(700);

    /// Replaces the router's previous report. Returns false, without effect, if \p snapshot is not newer than that.
    auto update(load_snapshot snapshot, time_point now) -> bool;

    /// Removes the loads of the router \p incarnation, which stops.
    auto removeRouter(std::uint64_t incarnation) -> void;

    /// Removes the loads of silent routers. Call before reading sums.
    auto expire(time_point now) -> void;

    /// Load that the other routers put on the engine incarnation \p server.
    [[nodiscard]] auto loadOnEngine(std::uint64_t server) const -> engine_load;

    /// Number of accounts with tokens in the reports of the other routers.
    [[nodiscard]] auto accountCount() const -> std::size_t;

    /// Tokens that the other routers sent to engines for an account.
    [[nodiscard]] auto tokensOfAccount(std::uint64_t account) const -> account_tokens;

    /// Tokens that the other routers sent to engines for all accounts, over sliding_window_sum::LENGTH.
    [[nodiscard]] auto startedTokens() const -> std::uint64_t;

    /// Number of routers whose reports the sums include.
    [[nodiscard]] auto reportingRouters() const -> std::size_t;

private:
    struct router_report
    {
        load_snapshot snapshot;
        time_point receivedAt;
    };

    auto adjustSums(const load_snapshot &snapshot, bool isAdded) -> void;

    std::unordered_map<std::uint64_t, router_report> m_routers;
    std::unordered_map<std::uint64_t, engine_load> m_engines; ///< Sums over m_routers.
    std::unordered_map<std::uint64_t, account_tokens> m_accounts;
    std::uint64_t m_startedTokens = 0;
};

} // namespace marjoramloom
