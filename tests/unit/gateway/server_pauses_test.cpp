#include "marjoramloom/gateway/knowledge/server_pauses.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

struct pauses_fixture
{
    server_pauses pauses;
    boot_time now{ 100s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_pauses_test, pauses_fixture)

BOOST_AUTO_TEST_CASE(a_server_is_paused_for_as_long_as_it_asked)
{
    pauses.note(1, 1'500ms, now);
    BOOST_TEST((pauses.remaining(1, now) == 1'500ms));
    BOOST_TEST((pauses.remaining(2, now) == 0ms));
    BOOST_TEST((pauses.remaining(1, now + 1'499ms) == 1ms));
    BOOST_TEST((pauses.remaining(1, now + 1'500ms) == 0ms));
    // The time runs on while the process is suspended.
    BOOST_TEST((pauses.remaining(1, now + 1h) == 0ms));
}

BOOST_AUTO_TEST_CASE(a_shorter_pause_does_not_end_a_longer_one)
{
    pauses.note(1, 3s, now);
    pauses.note(1, 1s, now + 1s);
    BOOST_TEST((pauses.remaining(1, now + 1s) == 2s));
    pauses.note(1, 5s, now + 2s);
    BOOST_TEST((pauses.remaining(1, now + 2s) == 5s));
    pauses.note(1, 0s, now + 2s);
    BOOST_TEST((pauses.remaining(1, now + 2s) == 5s));
}

BOOST_AUTO_TEST_CASE(an_absurdly_long_pause_is_cut)
{
    pauses.note(1, duration::max(), now);
    BOOST_TEST((pauses.remaining(1, now) == server_pauses::MAX_PAUSE));
}

BOOST_AUTO_TEST_CASE(the_pause_of_all_servers_is_the_shortest_of_theirs)
{
    const auto servers = std::array<std::uint64_t, 3>{ 1, 2, 3 };
    pauses.note(1, 3s, now);
    pauses.note(2, 2s, now);
    BOOST_TEST((pauses.remainingForAll(servers, now) == 0s));
    pauses.note(3, 9s, now);
    BOOST_TEST((pauses.remainingForAll(servers, now) == 2s));
    BOOST_TEST((pauses.remainingForAll(servers, now + 2s) == 0s));
    BOOST_TEST((pauses.remainingForAll({}, now) == 0s));
}

BOOST_AUTO_TEST_CASE(ended_pauses_are_forgotten_and_the_number_of_pauses_is_bounded)
{
    pauses.note(1, 1s, now);
    pauses.note(2, 2s, now);
    pauses.tick(now + 1s);
    BOOST_TEST(pauses.size() == 1U);
    for (auto server = std::uint64_t(10); server < 10 + 2 * server_pauses::MAX_PAUSED_SERVERS; ++server) {
        pauses.note(server, 10s, now);
    }
    BOOST_TEST(pauses.size() == server_pauses::MAX_PAUSED_SERVERS);
}

BOOST_AUTO_TEST_SUITE_END()
