#include "process/peer/peer_relays.h"
#include "support/mixed_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace marjoramloom::test;

namespace {

constexpr auto routers = 3;
constexpr std::size_t streams = 12;

/// Three routers, each with a relay to the store, and two servers of v1. Two of v2 join while a router that watches the
/// store is cut off from it. For a while it asks no other router, as an answer of the store may just be late.
class outdated_fleet
{
public:
    outdated_fleet()
    {
        for (const auto server : { 2, 3 }) {
            BOOST_REQUIRE(m_fleet.fleet().removeObject("servers", nameOf(server)));
        }
        const auto isSettled = [&] {
            m_outdated = firstWatcher();
            return m_outdated < routers && logShows(m_outdated, "change=removed server=" + nameOf(3));
        };
        BOOST_REQUIRE(waitUntil(12'000, isSettled));
        m_current = (m_outdated + 1) % routers;
        m_relays[m_outdated]->cut(m_storeAddress);
        for (const auto server : { std::size_t(2), std::size_t(3) }) {
            m_fleet.replace(server, "v2");
        }
        const auto isKnown = [&] {
            return countInLog(m_current, "change=added server=" + nameOf(2)) == 2
                && countInLog(m_current, "change=added server=" + nameOf(3)) == 2;
        };
        BOOST_REQUIRE(waitUntil(4'000, isKnown));
    }

    /// Begins streams at a router that knows both versions, all at once.
    auto begin() -> void
    {
        auto answers = std::vector<std::pair<std::string, std::future<http_answer>>>();
        for (auto index = std::size_t(0); index < streams; ++index) {
            const auto id = "first-" + std::to_string(++m_sent);
            answers.emplace_back(id, send(m_current, id));
        }
        for (auto &[id, answer] : answers) {
            if (answer.get().status == 200U) {
                m_begun.push_back(id);
            }
        }
    }

    /// Takes up all streams at the router that is cut off, and checks where they go on. Returns how many do.
    auto takeUp() -> std::size_t
    {
        auto answers = std::vector<std::future<http_answer>>();
        for (const auto &id : m_begun) {
            answers.push_back(send(m_outdated, "next-" + id, id, 4));
        }
        auto resumed = std::size_t(0);
        for (auto index = std::size_t(0); index < m_begun.size(); ++index) {
            const auto answer = answers[index].get();
            BOOST_TEST_CONTEXT(m_begun[index])
            {
                const auto version = m_fleet.versionOf("next-" + m_begun[index]);
                BOOST_TEST((version.empty() || version == m_fleet.versionOf(m_begun[index])));
                BOOST_TEST((answer.status == 200U || isNotRun(answer)));
                resumed += answer.status == 200U ? 1 : 0;
            }
        }
        m_begun.clear();
        return resumed;
    }

    /// Streams that were begun at a server of \p version.
    auto begunAt(const std::string &version) -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            m_begun.begin(), m_begun.end(), [&](const auto &id) { return m_fleet.versionOf(id) == version; }));
    }

private:
    auto nameOf(std::size_t server) -> std::string
    {
        return m_fleet.fleet().servers()[server]->name();
    }

    auto countInLog(std::size_t router, const std::string &text) -> std::size_t
    {
        const auto log = m_fleet.fleet().readLog(m_fleet.fleet().routers()[router]);
        auto count = std::size_t(0);
        for (auto found = log.find(text); found != std::string::npos; found = log.find(text, found + 1)) {
            ++count;
        }
        return count;
    }

    auto logShows(std::size_t router, const std::string &text) -> bool
    {
        return countInLog(router, text) > 0;
    }

    /// The first router that still watches the store; `routers` before one does.
    auto firstWatcher() -> std::size_t
    {
        auto router = std::size_t(0);
        while (router < routers
               && countInLog(router, "event=store_watch watches=yes")
                   <= countInLog(router, "event=store_watch watches=no")) {
            ++router;
        }
        return router;
    }

    auto send(std::size_t router, std::string id, std::string resumed = {}, int after = 0) -> std::future<http_answer>
    {
        return std::async(std::launch::async, [this, router, id = std::move(id), resumed = std::move(resumed), after] {
            return m_fleet.send(router, id, resumed, after);
        });
    }

    std::vector<std::unique_ptr<peer_relays>> m_relays; ///< By router.
    std::string m_storeAddress;
    mixed_fleet m_fleet{ routers, { "v1", "v1", "v1", "v1" }, [this](int, const std::string &address) {
                            m_storeAddress = address;
                            m_relays.push_back(std::make_unique<peer_relays>());
                            return m_relays.back()->addressFor(address);
                        } };
    std::size_t m_outdated = 0;
    std::size_t m_current = 0;
    int m_sent = 0;
    std::vector<std::string> m_begun; ///< Ids of the streams that were answered.
};

} // namespace

BOOST_AUTO_TEST_SUITE(outdated_router_test)

BOOST_AUTO_TEST_CASE(streams_of_a_version_that_a_router_has_not_heard_of_are_not_joined_with_the_old_one_there)
{
    auto fleet = outdated_fleet();
    fleet.begin();
    BOOST_TEST(fleet.takeUp() > 0U);
}

BOOST_AUTO_TEST_CASE(streams_that_begin_at_a_new_version_later_are_not_joined_at_a_router_that_is_still_cut_off)
{
    auto fleet = outdated_fleet();
    const auto isMixed = [&] {
        fleet.begin();
        return fleet.begunAt("v2") > 0;
    };
    BOOST_TEST(waitUntil(10'000, isMixed));
    fleet.takeUp();
}

BOOST_AUTO_TEST_SUITE_END()
