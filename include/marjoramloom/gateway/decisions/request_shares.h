#pragma once

#include "marjoramloom/gateway/decisions/sliding_window_sum.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace marjoramloom {

/// Shares of the client accounts in the recent requests for each service. Not thread safe.
class request_shares
{
public:
    /// Counts a request of \p account, which is 0 for a request without an account, for \p service. Returns the
    /// account's share in the requests for that service, from 0 to 1; 0 without an account.
    auto note(const std::string &service, std::uint64_t account, time_point now) -> double;

    /// The share of \p account in the recent requests for \p service, from 0 to 1, without counting one.
    [[nodiscard]] auto share(const std::string &service, std::uint64_t account, time_point now) -> double;

private:
    struct service_requests
    {
        sliding_window_sum all;
        std::unordered_map<std::uint64_t, sliding_window_sum> byAccount;
    };

    /// Accounts without recent requests are removed once this many are known.
    static constexpr std::size_t MAX_ACCOUNTS = 1'024;

    std::unordered_map<std::string, service_requests> m_services;
};

} // namespace marjoramloom
