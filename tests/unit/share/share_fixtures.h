#pragma once

#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"

namespace marjoramloom::share_test {

constexpr auto model = object_id{ 7 };
constexpr auto accountA = object_id{ 101 };
constexpr auto accountB = object_id{ 102 };
constexpr auto accountC = object_id{ 103 };
constexpr auto routerOne = incarnation_id(1);
constexpr auto routerTwo = incarnation_id(2);

inline auto at(double seconds) -> time_point
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)));
}

inline auto poolIn(const std::string &dataCentre) -> pool_id
{
    return { dataCentre, model };
}

inline auto serversOf(std::uint32_t count, std::uint32_t slots) -> std::vector<backend_server>
{
    auto servers = std::vector<backend_server>();
    for (auto index = std::uint32_t(0); index < count; ++index) {
        auto server = backend_server();
        server.id = { 500 + index };
        server.name = "engine" + std::to_string(index);
        server.slots = slots;
        servers.push_back(server);
    }
    return servers;
}

/// A ticket of \p account with an expected cost of 100, submitted at \p seconds, with a deadline a minute later.
inline auto ticketOf(object_id account, std::uint64_t serial, double seconds = 0,
                     work_length length = work_length::shortWork) -> ticket
{
    auto result = ticket();
    result.id = { routerOne, serial };
    result.origin = poolIn("north");
    result.account = account;
    result.length = length;
    result.expectedCost = 100;
    result.submitted = at(seconds);
    result.deadline = at(seconds + 60);
    return result;
}

/// A dispatcher with its ledger; the accounts A, B and C have the weight 1.
struct single_pool
{
    share_ledger ledger;
    dispatcher pool;

    explicit single_pool(std::uint32_t slots, dispatcher_settings settings = {})
        : pool(poolIn("north"), settings, ledger)
    {
        ledger.setWeights({ { accountA, 1 }, { accountB, 1 }, { accountC, 1 } });
        pool.placement().setServers(serversOf(1, slots), at(0));
    }

    /// Ends a request as its router does: it updates its total first, then notifies the dispatcher.
    auto settle(const grant &granted, double cost, time_point now) -> void
    {
        ledger.count(granted.ticket.router, granted.account, cost);
        pool.settle(granted.ticket, cost, now);
    }
};

} // namespace marjoramloom::share_test
