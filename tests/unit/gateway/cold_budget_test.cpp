#include "marjoramloom/gateway/decisions/cold_budget.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto perSecond = 11.0;
constexpr auto overshoot = 1.5;
constexpr auto tolerance = 5.0;
constexpr auto bound = perSecond * overshoot + tolerance;
const auto start = time_point() + 1h;

/// Requests on their way from a router to the cold engine.
struct sending
{
    std::size_t router = 0;
    std::uint64_t reservation = 0;
    time_point sendAt;
};

/// A fleet whose routers all have requests for one cold engine. Each decides by its own budget and the routers that it
/// knows; nothing else passes between them.
class cold_fleet
{
public:
    cold_fleet(std::size_t routers, std::uint64_t seed)
        : m_routers(routers)
        , m_random(seed)
    {
        for (auto index = std::size_t(0); index < routers; ++index) {
            m_routers[index].known = othersOf(index);
        }
    }

    auto draw(int least, int most) -> int
    {
        return boost::random::uniform_int_distribution<int>(least, most)(m_random);
    }

    auto drawRouter() -> std::size_t
    {
        return static_cast<std::size_t>(draw(0, static_cast<int>(m_routers.size()) - 1));
    }

    /// Every router sends \p requests within each millisecond up to \p end, with up to \p maxDelay ms from the choice
    /// of the engine to the send. With \p faults, routers are suspended and restarted.
    auto run(duration length, int requests, int maxDelay, bool faults) -> void
    {
        const auto end = m_now + length;
        for (; m_now < end; m_now += 1ms) {
            if (faults && draw(0, 49) == 0) {
                suspendOrRestart(drawRouter());
            }
            for (auto count = 0; count < requests; ++count) {
                choose(drawRouter(), maxDelay);
            }
            sendDue();
        }
    }

    /// The most requests that the engine got in any second.
    auto mostInASecond() -> std::size_t
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        auto most = std::size_t(0);
        auto first = std::size_t(0);
        for (auto last = std::size_t(0); last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] >= 1s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    auto arrivals() -> std::size_t
    {
        return m_arrivals.size();
    }

private:
    struct router
    {
        cold_budget budget;
        std::vector<std::uint64_t> known;
        time_point startedAt = start - cold_budget::START_DELAY;
        time_point suspendedUntil{};
        bool isStopped = false; ///< For good: it has left the store's list of routers.
    };

    auto othersOf(std::size_t self) -> std::vector<std::uint64_t>
    {
        auto others = std::vector<std::uint64_t>();
        for (auto index = std::size_t(0); index < m_routers.size(); ++index) {
            if (index != self && !m_routers[index].isStopped) {
                others.push_back(1'000 + index);
            }
        }
        return others;
    }

    auto suspendOrRestart(std::size_t index) -> void
    {
        auto &target = m_routers[index];
        // The others still count a stopped router, and those that start later do not.
        target.isStopped = target.isStopped || draw(0, 49) == 0;
        target.suspendedUntil = m_now + std::chrono::milliseconds(draw(0, 3'000));
        if (draw(0, 2) == 0) {
            target.budget = {};
            target.startedAt = target.suspendedUntil;
            target.known = othersOf(index);
            std::erase_if(m_sendings, [&](const auto &entry) { return entry.router == index; });
        }
    }

    auto choose(std::size_t index, int maxDelay) -> void
    {
        auto &chooser = m_routers[index];
        if (chooser.isStopped || m_now < chooser.suspendedUntil
            || m_now - chooser.startedAt < cold_budget::START_DELAY) {
            return;
        }
        const auto rank = cold_budget::rankOf("engine", 1'000 + index, chooser.known);
        const auto limit = cold_budget::fleetLimit(perSecond, overshoot, tolerance);
        const auto share = cold_budget::shareOf(limit, rank, chooser.known.size() + 1);
        if (!chooser.budget.hasRoom(7, share, m_now)) {
            return;
        }
        const auto reservation = chooser.budget.reserve(7, m_now);
        m_sendings.push_back({ index, reservation, m_now + std::chrono::milliseconds(draw(0, maxDelay)) });
    }

    auto sendDue() -> void
    {
        std::erase_if(m_sendings, [this](const sending &entry) {
            auto &sender = m_routers[entry.router];
            if (m_now < entry.sendAt || m_now < sender.suspendedUntil) {
                return false;
            }
            if (draw(0, 9) == 0) {
                sender.budget.release(7, entry.reservation); // The caller left, or the connection failed.
            } else if (sender.budget.noteSent(7, entry.reservation, m_now)) {
                m_arrivals.push_back(m_now + std::chrono::milliseconds(draw(0, 60)));
            }
            return true;
        });
    }

    std::vector<router> m_routers;
    std::vector<sending> m_sendings;
    std::vector<time_point> m_arrivals;
    time_point m_now = start;
    boost::random::mt19937_64 m_random;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_budget_test)

BOOST_AUTO_TEST_CASE(the_shares_of_all_routers_make_up_the_limit)
{
    BOOST_TEST(cold_budget::fleetLimit(perSecond, overshoot, tolerance) == 20U);
    BOOST_TEST(cold_budget::fleetLimit(0, overshoot, 0) == 0U);
    for (const auto routers : { 1U, 2U, 3U, 7U, 19U, 20U, 21U, 61U, 340U }) {
        auto sum = 0U;
        for (auto rank = 0U; rank < routers; ++rank) {
            sum += cold_budget::shareOf(20, rank, routers);
        }
        BOOST_TEST(sum == 20U);
    }
}

BOOST_AUTO_TEST_CASE(routers_that_know_of_more_routers_never_take_more)
{
    for (auto routers = std::size_t(1); routers < 70; ++routers) {
        for (auto rank = std::size_t(0); rank < routers; ++rank) {
            const auto share = cold_budget::shareOf(20, rank, routers);
            BOOST_TEST(cold_budget::shareOf(20, rank, routers + 1) <= share);
            BOOST_TEST(cold_budget::shareOf(20, rank + 1, routers + 1) <= share);
        }
    }
}

// Guards against a sum over the bound whatever the routers know of each other while they are cut off.
BOOST_AUTO_TEST_CASE(no_interleaving_of_suspended_and_restarted_routers_exceeds_the_bound)
{
    for (auto seed = std::uint64_t(1); seed <= 40; ++seed) {
        auto fleet = cold_fleet(seed % 2 == 0 ? 5 : 30, seed);
        fleet.run(20s, 3, static_cast<int>(seed % 4) * 200, true);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(static_cast<double>(fleet.mostInASecond()) <= bound);
            BOOST_TEST(fleet.arrivals() > 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_fleet_with_waiting_work_uses_most_of_the_bound)
{
    constexpr auto seconds = 20;
    for (const auto routers : { 1U, 3U, 12U, 61U }) {
        auto fleet = cold_fleet(routers, routers);
        fleet.run(std::chrono::seconds(seconds), 4, 2, false);
        BOOST_TEST_CONTEXT("routers " << routers)
        {
            BOOST_TEST(static_cast<double>(fleet.arrivals()) >= 0.8 * bound * seconds);
            BOOST_TEST(static_cast<double>(fleet.mostInASecond()) <= bound);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_reservation_that_is_too_old_is_not_used)
{
    auto budget = cold_budget();
    const auto reservation = budget.reserve(7, start);
    BOOST_TEST(!budget.hasRoom(7, 1, start + cold_budget::MAX_RESERVATION_AGE));
    BOOST_TEST(!budget.noteSent(7, reservation, start + cold_budget::MAX_RESERVATION_AGE + 1ms));
    BOOST_TEST(budget.hasRoom(7, 1, start + cold_budget::MAX_RESERVATION_AGE + 1ms));
    const auto next = budget.reserve(7, start);
    BOOST_TEST(budget.noteSent(7, next, start + 10ms));
    budget.release(7, next); // After the send it still counts.
    BOOST_TEST(!budget.hasRoom(7, 1, start + cold_budget::WINDOW));
    BOOST_TEST(budget.hasRoom(7, 1, start + cold_budget::WINDOW + 10ms));
}

BOOST_AUTO_TEST_SUITE_END()
