#include "marjoramloom/gateway/decisions/request_shares.h"

namespace marjoramloom {

auto request_shares::note(const std::string &service, std::uint64_t account, time_point now) -> double
{
    auto &requests = m_services[service];
    requests.all.add(1, now);
    if (account == 0) {
        return 0;
    }
    if (requests.byAccount.size() >= MAX_ACCOUNTS) {
        for (auto entry = requests.byAccount.begin(); entry != requests.byAccount.end();) {
            entry = entry->second.total(now) == 0 ? requests.byAccount.erase(entry) : std::next(entry);
        }
    }
    auto &own = requests.byAccount[account];
    own.add(1, now);
    return static_cast<double>(own.total(now)) / static_cast<double>(requests.all.total(now));
}

auto request_shares::share(const std::string &service, std::uint64_t account, time_point now) -> double
{
    const auto requests = m_services.find(service);
    if (account == 0 || requests == m_services.end()) {
        return 0;
    }
    const auto own = requests->second.byAccount.find(account);
    const auto all = requests->second.all.total(now);
    return own == requests->second.byAccount.end() || all == 0
        ? 0
        : static_cast<double>(own->second.total(now)) / static_cast<double>(all);
}

} // namespace marjoramloom
