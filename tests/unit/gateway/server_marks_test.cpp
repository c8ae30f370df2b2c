#include "marjoramloom/gateway/decisions/misdirection.h"
#include "marjoramloom/gateway/decisions/server_choice.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto serverCount = 3;

auto makeServer(int number, std::int64_t start, std::uint64_t revision) -> listed_server
{
    auto server = listed_server();
    server.id = "i-" + std::to_string(number);
    server.service = "desk";
    server.address = "10.0.0.1:" + std::to_string(80 + number);
    server.slots = 4;
    server.startUnixMs = start;
    server.revision = revision;
    return server;
}

/// One router with the marks of docs/design/platform.md on a manual clock.
struct marks_fixture
{
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    time_point now{ 1'000s };
    boot_time bootNow{ 1'000s };
    std::uint64_t revision = 0;

    marks_fixture()
    {
        for (auto number = 0; number < serverCount; ++number) {
            state.servers.put(makeServer(number, 1, ++revision), now);
        }
    }

    auto forAll(const std::function<void(const listed_server &)> &action) -> void
    {
        for (auto number = 0; number < serverCount; ++number) {
            action(makeServer(number, 1, 0));
        }
    }

    auto pass(duration time) -> void
    {
        now += time;
        bootNow += std::chrono::duration_cast<boot_time::duration>(time);
        state.servers.tick(now);
        state.pauses.tick(bootNow);
    }

    /// Servers that may get a request, although others may be preferred.
    auto countOpen() -> int
    {
        auto open = 0;
        forAll([&](const listed_server &server) {
            const auto pause = state.pauses.remaining(server_loads::incarnationId(server), bootNow);
            open += state.servers.isUsable(server) && pause == duration::zero() ? 1 : 0;
        });
        return open;
    }

    auto choosePlain() -> bool
    {
        auto why = last_reason();
        auto service = routed_service();
        service.name = "desk";
        return choosePlainServer(state, service, {}, { .objective = 100ms }, "north", {}, now, why).has_value();
    }

    auto chooseForPrompt() -> bool
    {
        auto why = last_reason();
        auto service = routed_service();
        service.name = "desk";
        service.engine = engine_profile{ .slots = 4, .kvCapacityTokens = 100'000 };
        auto prompt = prompt_summary();
        prompt.promptTokens = 100;
        return chooseEngine(state, service, {}, prompt, {}, now, why).has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_marks_test, marks_fixture)

/// Guards against a mark without an end: all servers of a service would stay out of use.
BOOST_AUTO_TEST_CASE(all_marks_on_all_servers_at_once_end_by_themselves)
{
    forAll([&](const listed_server &server) {
        state.servers.noteMisdirected(server, now);
        state.pauses.note(server_loads::incarnationId(server), 24h, bootNow);
        auto &load = state.loads.at(server);
        load.noteFull(0, now);
        load.capacity.noteServed(0, server.slots, 10s);
        for (auto failure = 0; failure < 1'000; ++failure) {
            state.loads.noteFailure(server, now);
            state.loads.noteSuspicion(server_loads::incarnationId(server), static_cast<std::uint64_t>(failure), now);
        }
    });
    BOOST_TEST(countOpen() == 0);
    BOOST_TEST(!choosePlain());
    BOOST_TEST(!chooseForPrompt());
    const auto allLoads = [&](auto property) {
        auto count = 0;
        forAll([&](const listed_server &server) { count += property(state.loads.at(server)) ? 1 : 0; });
        return count;
    };
    pass(server_load::FULL_PAUSE);
    BOOST_TEST(allLoads([&](auto &load) { return load.capacity.isFull(now); }) == 0);
    pass(4s);
    BOOST_TEST(allLoads([&](auto &load) { return load.isAvoided(now); }) == 0);
    pass(server_directory::MISDIRECTED_TIME);
    BOOST_TEST(state.servers.usable("desk").size() == 3U);
    BOOST_TEST(countOpen() == 0);
    pass(30s);
    const auto isLimited = [&](auto &load) {
        return load.capacity.acceptedRequests(now) < 1'000;
    };
    BOOST_TEST(allLoads(isLimited) == 0);
    pass(server_pauses::MAX_PAUSE);
    BOOST_TEST(countOpen() == serverCount);
    BOOST_TEST(choosePlain());
    BOOST_TEST(chooseForPrompt());
}

/// Guards against one client whose requests fail everywhere: the marks that it can cause only change the preference.
BOOST_AUTO_TEST_CASE(what_one_clients_requests_can_cause_takes_no_server_from_the_others)
{
    for (auto request = 0; request < 2'000; ++request) {
        forAll([&](const listed_server &server) {
            // 421 for a version that no server has, failures, and answers that take long.
            if (attributeMisdirection(server.id, server.id) == misdirection::otherServer) {
                state.servers.noteMisdirected(server, now);
            }
            state.loads.noteFailure(server, now);
            state.loads.at(server).noteFull(0, now);
            state.loads.at(server).capacity.noteServed(3, server.slots, 5s);
        });
        BOOST_REQUIRE(countOpen() == serverCount);
        BOOST_REQUIRE(choosePlain());
        BOOST_REQUIRE(chooseForPrompt());
        pass(10ms);
    }
}

BOOST_AUTO_TEST_CASE(leaving_is_final_for_an_incarnation_and_ends_with_a_restart)
{
    forAll([&](const listed_server &server) {
        state.servers.noteLeaving(server_loads::incarnationId(server), leaving_source::router, now);
    });
    pass(24h);
    BOOST_TEST(countOpen() == 0);
    for (auto number = 0; number < serverCount; ++number) {
        state.servers.put(makeServer(number, 2, ++revision), now);
    }
    BOOST_TEST(state.servers.usable("desk").size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
