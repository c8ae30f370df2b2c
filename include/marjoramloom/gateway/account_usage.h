#pragma once

#include "marjoramloom/gateway/fleet_loads.h"
#include "marjoramloom/gateway/rate_window.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// What the client accounts got lately: at this router by its own count, elsewhere by the others'
/// reports. Not thread safe.
class account_usage
{
public:
    /// Precondition: \p fleet outlives the usage.
    explicit account_usage(const fleet_loads &fleet);

    /// Number of an account, equal on every router.
    [[nodiscard]] static auto accountId(std::string_view name) -> std::uint64_t;

    /// A request that costs \p tokens was sent to an engine.
    auto noteStarted(std::uint64_t account, std::uint64_t tokens, time_point now) -> void;

    /// The part of all tokens started in the fleet lately that \p account got, from 0 to 1.
    [[nodiscard]] auto startedFraction(std::uint64_t account, time_point now) -> double;

    /// This router's own count, of the accounts with any.
    [[nodiscard]] auto ownShares(time_point now) -> std::vector<account_share>;

private:
    const fleet_loads &m_fleet;
    std::unordered_map<std::uint64_t, rate_window> m_accounts; ///< Tokens begun here, by account.
    rate_window m_started; ///< Of all accounts.
};

} // namespace marjoramloom
