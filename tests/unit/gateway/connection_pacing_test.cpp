#include "marjoramloom/gateway/decisions/connection_pacing.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// A router on a manual clock: connections arrive evenly, and each one that is accepted takes processor time, which
/// delays the timers of the event loop once the work does not fit any more.
class paced_router
{
public:
    paced_router(double arrivalsPerSecond, double capacityPerSecond)
        : m_arrivalsPerSecond(arrivalsPerSecond)
        , m_capacityPerSecond(capacityPerSecond)
    {
    }

    auto setArrivals(double perSecond) -> void
    {
        m_arrivalsPerSecond = perSecond;
    }

    /// Plays \p length. Returns the number of connections accepted in each second.
    auto play(duration length) -> std::vector<int>
    {
        auto accepted = std::vector<int>();
        constexpr auto step = 10ms;
        constexpr auto timerPeriod = 50ms;
        for (auto played = duration(); played < length; played += step) {
            if (played % 1s == duration()) {
                accepted.push_back(0);
            }
            m_now += step;
            m_queued = std::min(maxQueued, m_queued + m_arrivalsPerSecond * toSeconds(step));
            if (m_now >= m_nextIteration) {
                for (; m_queued >= 1; m_queued -= 1) {
                    if (pacing.mayAccept(m_now)) {
                        ++accepted.back();
                        m_work += 1;
                    }
                }
                m_nextIteration = m_now + delay();
            }
            m_work = std::max(0.0, m_work - m_capacityPerSecond * toSeconds(step));
            worstWait = std::max(worstWait, m_work / m_capacityPerSecond);
            if (m_now >= m_nextTimer) {
                pacing.onTimer(delay(), m_now);
                m_nextTimer = m_now + timerPeriod;
            }
        }
        return accepted;
    }

    connection_pacing pacing;
    double worstWait = 0; ///< Seconds.

private:
    /// An iteration of the event loop does a part of the work only.
    auto delay() const -> duration
    {
        return fromSeconds(std::min(0.1, m_work / m_capacityPerSecond));
    }

    static constexpr double maxQueued = 128; ///< Backlog of the listening socket.

    double m_arrivalsPerSecond;
    double m_capacityPerSecond;
    time_point m_now{ 100s };
    time_point m_nextTimer{ 100s };
    time_point m_nextIteration{ 100s };
    double m_queued = 0;
    double m_work = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_pacing_test)

BOOST_AUTO_TEST_CASE(a_router_with_enough_processor_time_accepts_every_connection)
{
    auto router = paced_router(200, 250);
    for (const auto accepted : router.play(10s)) {
        BOOST_TEST(std::abs(accepted - 200) <= 1);
    }
    BOOST_TEST(std::isinf(router.pacing.limit()));
}

// A router that a caller with much traffic reached served everything late, then refused everything for seconds.
BOOST_AUTO_TEST_CASE(a_flood_is_served_in_every_second_at_most_of_the_capacity_and_in_time)
{
    for (const auto arrivals : { 300.0, 600.0, 1'200.0, 4'000.0 }) {
        BOOST_TEST_CONTEXT(arrivals << " connections a second for a capacity of 250")
        {
            auto router = paced_router(arrivals, 250);
            router.play(6s);
            router.worstWait = 0;
            for (const auto accepted : router.play(20s)) {
                BOOST_TEST(accepted >= 150);
                BOOST_TEST(accepted <= 300);
            }
            BOOST_TEST(router.worstWait < 0.15);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_limit_is_lifted_after_the_flood)
{
    auto router = paced_router(1'200, 250);
    router.play(10s);
    BOOST_TEST((router.pacing.refusingFor(time_point(110s)) > 5s));
    router.setArrivals(100);
    router.play(6s);
    BOOST_TEST(std::isinf(router.pacing.limit()));
    BOOST_TEST((router.pacing.refusingFor(time_point(116s)) == 0s));
}

BOOST_AUTO_TEST_CASE(a_process_that_was_suspended_accepts_every_connection)
{
    auto pacing = connection_pacing();
    auto now = time_point(100s);
    for (auto tick = 0; tick < 40; ++tick) {
        now += 50ms;
        pacing.onTimer(1ms, now);
        BOOST_TEST(pacing.mayAccept(now));
    }
    now += 4s;
    pacing.onTimer(4s, now);
    for (auto tick = 0; tick < 40; ++tick) {
        now += 50ms;
        pacing.onTimer(1ms, now);
        BOOST_TEST(pacing.mayAccept(now));
    }
    // A single late timer, as under a quota of processor time that is met for one period.
    now += 140ms;
    pacing.onTimer(90ms, now);
    now += 50ms;
    pacing.onTimer(1ms, now);
    now += 50ms;
    pacing.onTimer(1ms, now);
    BOOST_TEST(std::isinf(pacing.limit()));
}

BOOST_AUTO_TEST_SUITE_END()
