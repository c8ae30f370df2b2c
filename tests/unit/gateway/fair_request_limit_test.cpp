#include "marjoramloom/gateway/decisions/fair_request_limit.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// A router's event loop on a manual clock. Requests arrive evenly on open connections and wait there unread. Each
/// iteration reads those that wait; to serve a request or to refuse it takes time, which delays the timers.
class limited_router
{
public:
    /// Plays \p length with \p rates requests a second by account. Returns the requests served a second.
    auto play(const std::map<std::uint64_t, double> &rates, duration length) -> std::map<std::uint64_t, double>
    {
        auto served = std::map<std::uint64_t, double>();
        const auto start = m_now;
        auto refused = 0.0;
        while (m_now < start + length) {
            const auto began = m_now;
            auto waiting = m_waiting;
            // One request of each connection in turn.
            for (auto isLeft = true; isLeft;) {
                isLeft = false;
                for (auto &[account, count] : waiting) {
                    if (count >= 1) {
                        isLeft = true;
                        count -= 1;
                        m_waiting[account] -= 1;
                        const auto isServed = limit.mayServe(account, m_now);
                        served[account] += isServed ? 1 : 0;
                        refused += isServed ? 0 : 1;
                        m_now += isServed ? serveTime : refusalTime;
                    }
                }
            }
            m_now += idleTime;
            for (const auto &[account, perSecond] : rates) {
                auto &count = m_waiting[account];
                count = std::min(maxConnections, count + perSecond * toSeconds(m_now - began));
            }
            worstIteration = std::max(worstIteration, m_now - began);
            if (m_now >= m_nextTimer) {
                limit.onTimer(m_now - m_nextTimer, m_now);
                m_nextTimer = m_now + 50ms;
            }
        }
        refusedPerSecond = refused / toSeconds(m_now - start);
        for (auto &[account, count] : served) {
            count /= toSeconds(m_now - start);
        }
        return served;
    }

    fair_request_limit limit;
    duration worstIteration{};
    double refusedPerSecond = 0; ///< During the last play().

    static constexpr double CAPACITY = 250; ///< Requests a second.
    static constexpr double REFUSALS_PER_REQUEST = 40; ///< That take as long as a request.

private:
    static constexpr auto serveTime = 4ms;
    static constexpr auto refusalTime = 100us;
    static constexpr auto idleTime = 1ms;
    static constexpr double maxConnections = 64; ///< Of each account.

    time_point m_now{ 100s };
    time_point m_nextTimer{ 100s };
    std::map<std::uint64_t, double> m_waiting;
};

constexpr std::uint64_t flood = 1;

} // namespace

BOOST_AUTO_TEST_SUITE(fair_request_limit_test)

BOOST_AUTO_TEST_CASE(a_router_with_enough_processor_time_refuses_no_request)
{
    auto router = limited_router();
    const auto served = router.play({ { flood, 150 }, { 2, 20 } }, 10s);
    BOOST_TEST(served.at(flood) > 148);
    BOOST_TEST(served.at(2) > 19);
    BOOST_TEST(std::isinf(router.limit.limit()));
}

// A router that was overloaded by one account refused every request of every account.
BOOST_AUTO_TEST_CASE(an_account_below_its_share_is_served_beside_floods)
{
    for (const auto floods : { 1U, 3U, 14U }) {
        BOOST_TEST_CONTEXT(floods << " floods")
        {
            auto router = limited_router();
            auto rates =
                std::map<std::uint64_t, double>{ { 100, 1 }, { 101, 2 } }; // The level with 14 floods is about 5.
            for (auto account = flood; account <= floods; ++account) {
                rates[account] = 600;
            }
            router.play(rates, 5s);
            router.worstIteration = 0s;
            auto served = router.play(rates, 20s);
            BOOST_TEST(served[100] >= 0.9 * 1);
            BOOST_TEST(served[101] >= 0.9 * 2);
            auto servedOfFloods = 0.0;
            auto least = router.CAPACITY;
            auto most = 0.0;
            for (auto account = flood; account <= floods; ++account) {
                servedOfFloods += served[account];
                least = std::min(least, served[account]);
                most = std::max(most, served[account]);
            }
            // What the router can do beside its refusals is used, and each flood gets a like part of it.
            BOOST_TEST(servedOfFloods
                       >= 0.7 * (router.CAPACITY - router.refusedPerSecond / router.REFUSALS_PER_REQUEST));
            BOOST_TEST(least >= 0.7 * most);
            BOOST_TEST((router.worstIteration < 500ms));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_limit_is_lifted_after_the_flood)
{
    auto router = limited_router();
    router.play({ { flood, 1'200 }, { 2, 20 } }, 10s);
    BOOST_TEST(!std::isinf(router.limit.accountLimit()));
    router.play({ { flood, 100 }, { 2, 20 } }, 8s);
    BOOST_TEST(std::isinf(router.limit.limit()));
    BOOST_TEST(std::isinf(router.limit.accountLimit()));
}

BOOST_AUTO_TEST_CASE(a_process_that_was_suspended_serves_every_request)
{
    auto limit = fair_request_limit();
    auto now = time_point(100s);
    for (auto tick = 0; tick < 40; ++tick) {
        now += tick == 20 ? 4s : 50ms;
        limit.onTimer(tick == 20 ? 4s : 1ms, now);
        BOOST_TEST(limit.mayServe(flood, now));
    }
    BOOST_TEST(std::isinf(limit.limit()));
}

BOOST_AUTO_TEST_SUITE_END()
