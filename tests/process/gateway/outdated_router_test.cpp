#include "support/mixed_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

using namespace marjoramloom::test;

namespace {

constexpr auto outdated = std::size_t(2);
constexpr std::size_t streams = 24;

/// Three routers and four servers of one version, of which two are replaced by another one while a router stands still.
class outdated_fleet
{
public:
    outdated_fleet()
    {
        sleepMs(mixed_fleet::SETTLE_MS);
        m_fleet.fleet().routers()[outdated].process->signal(SIGSTOP);
        m_fleet.replace(2, "v2");
        m_fleet.replace(3, "v2");
    }

    /// Begins streams at another router, all at once.
    auto begin() -> void
    {
        auto answers = std::vector<std::future<http_answer>>();
        for (auto index = std::size_t(0); index < streams; ++index) {
            answers.push_back(send(0, first(m_begun + index)));
        }
        for (auto &answer : answers) {
            m_begun += answer.get().status == 200U ? 1 : 0;
        }
    }

    /// Takes up all streams at the router that stands still, lets it go on, and checks where the streams went on.
    auto takeUp() -> void
    {
        auto answers = std::vector<std::future<http_answer>>();
        for (auto index = std::size_t(0); index < m_begun; ++index) {
            answers.push_back(send(outdated, "next-" + std::to_string(index), first(index), 4));
        }
        sleepMs(100);
        m_fleet.fleet().routers()[outdated].process->signal(SIGCONT);
        for (auto index = std::size_t(0); index < m_begun; ++index) {
            const auto answer = answers[index].get();
            const auto version = m_fleet.versionOf("next-" + std::to_string(index));
            BOOST_TEST((version.empty() || version == m_fleet.versionOf(first(index))));
            BOOST_TEST((answer.status == 200U || isNotRun(answer)));
        }
    }

    /// Streams that were begun at a server of \p version.
    auto begunAt(const std::string &version) -> std::size_t
    {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < m_begun; ++index) {
            count += m_fleet.versionOf(first(index)) == version ? 1 : 0;
        }
        return count;
    }

private:
    static auto first(std::size_t index) -> std::string
    {
        return "first-" + std::to_string(index);
    }

    auto send(std::size_t router, std::string id, std::string resumed = {}, int after = 0) -> std::future<http_answer>
    {
        return std::async(std::launch::async, [this, router, id = std::move(id), resumed = std::move(resumed), after] {
            return m_fleet.send(router, id, resumed, after);
        });
    }

    mixed_fleet m_fleet{ 3, { "v1", "v1", "v1", "v1" } };
    std::size_t m_begun = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(outdated_router_test)

BOOST_AUTO_TEST_CASE(
    streams_of_a_version_that_joined_while_a_router_stood_still_for_a_second_are_not_joined_with_the_old_one)
{
    auto fleet = outdated_fleet();
    sleepMs(300);
    fleet.begin();
    sleepMs(200);
    fleet.takeUp();
}

BOOST_AUTO_TEST_CASE(
    streams_of_a_version_that_joined_while_a_router_stood_still_for_longer_are_not_joined_with_the_old_one)
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
