#pragma once

#include "marjoramloom/gateway/decisions/sliding_window_sum.h"
#include "marjoramloom/gateway/knowledge/fleet_loads.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Tokens of the prompts that were recently sent to engines, by client account: counted locally for this router, and
/// taken from the load reports of the other routers. Not thread safe.
class account_usage
{
public:
    /// Precondition: \p fleet outlives this object.
    explicit account_usage(const fleet_loads &fleet);

    /// Id of the account \p name: a hash, equal on every router.
    [[nodiscard]] static auto accountId(std::string_view name) -> std::uint64_t;

    /// Records that a request that costs \p tokens was sent to an engine.
    auto noteStarted(std::uint64_t account, std::uint64_t tokens, time_point now) -> void;

    /// Tokens of the account that the fleet sent to engines within the window.
    [[nodiscard]] auto fleetTokensOf(std::uint64_t account, time_point now) -> std::uint64_t;

    /// The part of them that this router sent.
    [[nodiscard]] auto localTokensOf(std::uint64_t account, time_point now) -> std::uint64_t;

    /// The account's share of all tokens that the fleet sent to engines within the window, from 0 to 1.
    [[nodiscard]] auto fleetShare(std::uint64_t account, time_point now) -> double;

    /// Tokens that the fleet sent to engines within the window, for all accounts.
    [[nodiscard]] auto fleetTokens(time_point now) -> std::uint64_t;

    /// The share that each account with recent tokens would have if all had the same; 0 if there is none.
    [[nodiscard]] auto evenShare() const -> double;

    /// The tokens that this router sent within the window, of each account that has any.
    [[nodiscard]] auto localAccountTokens(time_point now) -> std::vector<account_tokens>;

private:
    const fleet_loads &m_fleet;
    std::unordered_map<std::uint64_t, sliding_window_sum> m_localTokensByAccount; ///< By account id.
    sliding_window_sum m_localTokens; ///< Sum over all accounts.
};

} // namespace marjoramloom
