#include "share_fixtures.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <numeric>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

namespace {

constexpr auto engineCount = std::uint32_t(4);
constexpr auto engineSlots = std::uint32_t(8);
constexpr auto stepSeconds = 0.05;
constexpr auto requestSeconds = 2.0;
constexpr auto requestCost = 100.0;
constexpr auto reportAge = std::chrono::seconds(2);

/// Simulates two dispatchers of one pool that are not aware of each other, each with a router that keeps two accounts
/// backlogged. The servers run one request per slot and queue the rest; their load reports arrive two seconds late.
class contested_pool
{
public:
    contested_pool()
    {
        for (auto &side : m_sides) {
            side.ledger.setWeights({ { accountA, 1 }, { accountB, 1 } });
            side.poolDispatcher = std::make_unique<dispatcher>(poolIn("north"), dispatcher_settings(), side.ledger);
            side.poolDispatcher->placement().setServers(serversOf(engineCount, engineSlots), at(0));
        }
    }

    auto runUntil(double seconds, bool secondIsActive) -> void
    {
        while (m_seconds < seconds) {
            m_seconds += stepSeconds;
            runEngines();
            for (auto index = std::size_t(0); index < m_sides.size(); ++index) {
                if (index == 0 || secondIsActive) {
                    decide(index);
                }
            }
            if (++m_steps % 10 == 0) {
                report();
                exchangeTotals();
            }
        }
    }

    auto resetStatistics() -> void
    {
        m_busy = m_queued = m_longestQueue = 0;
        m_samples = 0;
        m_grants = {};
    }

    /// Mean fraction of the slots in use.
    [[nodiscard]] auto utilisation() const -> double
    {
        return m_busy / m_samples / (engineCount * engineSlots);
    }

    /// Mean number of requests queued inside the servers, as a fraction of the slots.
    [[nodiscard]] auto overGranted() const -> double
    {
        return m_queued / m_samples / (engineCount * engineSlots);
    }

    /// Maximum number of requests queued inside the servers, as a fraction of the slots.
    [[nodiscard]] auto longestQueue() const -> double
    {
        return m_longestQueue / (engineCount * engineSlots);
    }

    /// Fraction of the grants that the second dispatcher made.
    [[nodiscard]] auto secondDispatcherFraction() const -> double
    {
        return m_grants[1] / (m_grants[0] + m_grants[1]);
    }

    [[nodiscard]] auto received(object_id account) const -> double
    {
        return m_received.at(account);
    }

private:
    struct simulated_request
    {
        std::size_t side = 0;
        grant granted;
        double remaining = requestSeconds;
    };

    struct side_state
    {
        share_ledger ledger;
        std::unique_ptr<dispatcher> poolDispatcher;
        std::uint64_t serial = 0;
        std::uint64_t sent = 0;
        std::map<object_id, int> waiting;
    };

    auto runEngines() -> void
    {
        auto queued = 0.0;
        for (auto &engine : m_engines) {
            for (auto index = std::size_t(0); index < engine.size() && index < engineSlots; ++index) {
                engine[index].remaining -= stepSeconds;
                m_busy += 1;
            }
            queued += double(engine.size() > engineSlots ? engine.size() - engineSlots : 0);
            for (auto index = std::size_t(0); index < engine.size();) {
                if (engine[index].remaining > 0) {
                    ++index;
                    continue;
                }
                end(engine[index]);
                engine.erase(engine.begin() + std::ptrdiff_t(index));
            }
        }
        m_queued += queued;
        m_longestQueue = std::max(m_longestQueue, queued);
        m_samples += 1;
    }

    auto end(const simulated_request &ended) -> void
    {
        auto &side = m_sides[ended.side];
        side.ledger.count(ended.side + 1, ended.granted.account, requestCost);
        side.poolDispatcher->settle(ended.granted.ticket, requestCost, at(m_seconds));
        m_received[ended.granted.account] += requestCost;
    }

    auto decide(std::size_t index) -> void
    {
        auto &side = m_sides[index];
        for (const auto account : { accountA, accountB }) {
            while (side.waiting[account] < 20) {
                auto submitted = ticketOf(account, ++side.serial, m_seconds);
                submitted.id.router = index + 1;
                ++side.waiting[account];
                side.poolDispatcher->submit(submitted, at(m_seconds));
            }
        }
        auto decisions = side.poolDispatcher->decide(at(m_seconds));
        for (const auto &refused : decisions.refusals) {
            --side.waiting[refused.account];
        }
        for (const auto &granted : decisions.grants) {
            --side.waiting[granted.account];
            m_grants[index] += 1;
            m_engines[granted.server.value - 500].push_back({ index, granted, requestSeconds });
        }
    }

    /// Records the current load of the servers and delivers the reports that are two seconds old.
    auto report() -> void
    {
        auto running = std::vector<std::uint32_t>();
        for (const auto &engine : m_engines) {
            running.push_back(std::uint32_t(engine.size()));
        }
        m_reports.emplace_back(m_seconds, running);
        while (!m_reports.empty() && m_reports.front().first <= m_seconds - 2) {
            for (auto &side : m_sides) {
                for (auto index = std::uint32_t(0); index < engineCount; ++index) {
                    const auto lateReport = load_report{ { 500 + index }, m_reports.front().second[index], reportAge };
                    side.poolDispatcher->placement().observe(lateReport, at(m_seconds));
                }
            }
            m_reports.pop_front();
        }
    }

    auto exchangeTotals() -> void
    {
        const auto first = m_sides[0].ledger.totalsSince(m_sides[0].sent, m_sides[0].sent);
        const auto second = m_sides[1].ledger.totalsSince(m_sides[1].sent, m_sides[1].sent);
        m_sides[0].ledger.merge(second);
        m_sides[1].ledger.merge(first);
    }

    std::array<side_state, 2> m_sides;
    std::array<std::vector<simulated_request>, engineCount> m_engines;
    std::deque<std::pair<double, std::vector<std::uint32_t>>> m_reports;
    std::map<object_id, double> m_received;
    double m_seconds = 0;
    std::uint64_t m_steps = 0;
    double m_busy = 0;
    double m_queued = 0;
    double m_longestQueue = 0;
    double m_samples = 0;
    std::array<double, 2> m_grants{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(two_dispatchers_test)

/// A second dispatcher starts for a pool that already has one. Unless each accounts for the other's requests by the
/// load reports, both grant all slots and requests queue inside the servers.
BOOST_AUTO_TEST_CASE(two_dispatchers_share_the_servers_after_their_first_load_reports)
{
    auto pool = contested_pool();
    pool.runUntil(20, false);
    pool.resetStatistics();
    pool.runUntil(30, true);
    BOOST_TEST_MESSAGE("first 10 s together: over-granted " << pool.overGranted() << " longest queue "
                                                            << pool.longestQueue() << " utilisation "
                                                            << pool.utilisation());
    BOOST_TEST(pool.longestQueue() <= 1.0); // Each dispatcher grants at most all slots.
    pool.resetStatistics();
    pool.runUntil(90, true);
    BOOST_TEST_MESSAGE("afterwards: over-granted " << pool.overGranted() << " utilisation " << pool.utilisation());
    BOOST_TEST_MESSAGE("second dispatcher's fraction of the grants " << pool.secondDispatcherFraction());
    BOOST_TEST(pool.secondDispatcherFraction() > 0.4);
    BOOST_TEST(pool.secondDispatcherFraction() < 0.6);
    BOOST_TEST(pool.overGranted() < 0.1);
    BOOST_TEST(pool.utilisation() >= 0.97);
    const auto gap = std::abs(pool.received(accountA) - pool.received(accountB));
    BOOST_TEST_MESSAGE("gap " << gap);
    BOOST_TEST(gap <= 2 * engineCount * engineSlots * requestCost);
    pool.runUntil(100, false);
    pool.resetStatistics();
    pool.runUntil(130, false);
    BOOST_TEST_MESSAGE("one dispatcher again: utilisation " << pool.utilisation());
    BOOST_TEST(pool.utilisation() >= 0.97);
}

BOOST_AUTO_TEST_SUITE_END()
