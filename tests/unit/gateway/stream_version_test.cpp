#include "marjoramloom/gateway/decisions/cold_choice.h"
#include "marjoramloom/gateway/knowledge/version_record.h"
#include "marjoramloom/gateway/traffic/stream_lookup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t stream = 17;

auto listed(const std::string &id, const std::string &version) -> listed_server
{
    auto server = listed_server();
    server.id = id;
    server.service = "pool";
    server.address = "10.0.0.1:80";
    server.softwareVersion = version;
    return server;
}

/// One router that knows three others and sends them no real messages.
struct lookup_fixture
{
    lookup_fixture()
    {
        for (auto number = 2; number <= 4; ++number) {
            state.roster.put({ "10.0.0." + std::to_string(number) + ":7400", "north", 1 });
        }
        state.servedVersions.noteRecordRead();
        state.serverListFreshness.noteValidation(boot_clock::now());
        state.servers.put(listed("a", "v1"), system_clock_source().now());
    }

    auto find(std::uint64_t id) -> std::optional<std::uint64_t>
    {
        auto result = std::optional<std::uint64_t>();
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { result = co_await lookup.find("pool", id); }, asio::detached);
        context.restart();
        context.run();
        return result;
    }

    asio::io_context context;
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    std::vector<std::uint64_t> asked;
    std::vector<std::uint64_t> told;
    std::uint64_t answer = 0; ///< Version that every asked router knows.
    bool isSilent = false; ///< Asked routers do not answer.
    stream_version lastTold;
    stream_lookup lookup{ context.get_executor(), state,
                          [this](std::uint64_t router, const stream_question &question) {
                              asked.push_back(router);
                              if (!isSilent) {
                                  const auto id = question.stream;
                                  asio::post(context, [this, id] { lookup.handleVersions({ { id, answer } }); });
                              }
                          },
                          [this](std::uint64_t router, const std::vector<stream_version> &versions) {
                              told.push_back(router);
                              lastTold = versions.back();
                          } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stream_version_test, lookup_fixture)

BOOST_AUTO_TEST_CASE(while_one_version_serves_every_stream_is_known_without_a_message)
{
    lookup.noteBegun("pool", { stream, softwareVersionId("v1") });
    BOOST_TEST((find(99) == softwareVersionId("v1")));
    BOOST_TEST((find(0) == softwareVersionId("v1")));
    BOOST_TEST(asked.empty());
    BOOST_TEST(told.empty());
}

BOOST_AUTO_TEST_CASE(with_two_versions_a_stream_is_told_and_asked_for_and_never_guessed)
{
    state.servers.put(listed("b", "v2"), system_clock_source().now());
    lookup.noteBegun("pool", { stream, softwareVersionId("v1") });
    BOOST_TEST(told.size() >= stream_lookup::KEEPERS - 1);
    BOOST_TEST((find(stream) == softwareVersionId("v1")));
    BOOST_TEST(asked.empty()); // This router began it.
    BOOST_TEST(!find(99));
    BOOST_TEST(asked.size() == 3U);
    BOOST_TEST(!find(0));
    answer = softwareVersionId("v2");
    BOOST_TEST((find(98) == softwareVersionId("v2")));
    isSilent = true;
    BOOST_TEST(!find(97));
}

BOOST_AUTO_TEST_CASE(a_version_counts_until_no_stream_of_it_can_go_on)
{
    auto versions = served_versions();
    const auto now = system_clock_source().now();
    versions.setHorizon(35s);
    versions.noteServed("pool", "v1", served_versions::source::firstList, now);
    BOOST_TEST(!versions.soleVersion("pool", now)); // What served before the start is not known yet.
    versions.noteRecordRead();
    BOOST_TEST((versions.soleVersion("pool", now) == softwareVersionId("v1")));
    versions.noteServed("pool", "v2", served_versions::source::laterList, now + 10s);
    BOOST_TEST(versions.isMixed("pool", now + 34s));
    BOOST_TEST(!versions.soleVersion("pool", now + 34s));
    BOOST_TEST((versions.soleVersion("pool", now + 36s) == softwareVersionId("v2")));
    BOOST_TEST(!versions.soleVersion("other", now));
    BOOST_TEST(versions.recent(now + 36s).at("pool").size() == 1U);
}

BOOST_AUTO_TEST_CASE(while_the_store_is_lost_a_single_version_is_not_certain)
{
    state.servers.onStoreLost();
    BOOST_TEST(!state.soleVersion("pool", system_clock_source().now()));
    lookup.noteBegun("pool", { stream, softwareVersionId("v1") });
    BOOST_TEST(!told.empty());
    state.servers.onStoreRegained(system_clock_source().now());
    BOOST_TEST(state.soleVersion("pool", system_clock_source().now()).has_value());
}

BOOST_AUTO_TEST_CASE(a_list_that_was_not_validated_lately_does_not_prove_that_a_single_version_serves)
{
    state.serverListFreshness = knowledge_freshness(served_versions::LIST_LIFETIME);
    BOOST_TEST(!state.soleVersion("pool", system_clock_source().now()));
    state.serverListFreshness.noteValidation(boot_clock::now() - served_versions::LIST_LIFETIME);
    BOOST_TEST(!find(99));
    BOOST_TEST(asked.size() == 3U);
    answer = softwareVersionId("v1");
    BOOST_TEST((find(98) == softwareVersionId("v1")));
    state.serverListFreshness.noteValidation(boot_clock::now() - served_versions::LIST_LIFETIME + 500ms);
    BOOST_TEST((find(99) == softwareVersionId("v1")));
}

BOOST_AUTO_TEST_CASE(a_router_with_a_current_list_answers_for_a_service_with_a_single_version)
{
    auto content = route_table_content();
    content.version = 1;
    content.services = { { .name = "pool", .engine = engine_profile{ .slots = 8, .kvCapacityTokens = 100'000 } } };
    state.routes = std::make_shared<const route_table>(std::move(content));
    const auto answerTo = [&](const stream_question &question) {
        lookup.handleQuestion(3, question);
        return lastTold.version;
    };
    const auto question = stream_question{ .stream = 99, .service = stream_lookup::serviceId("pool") };
    BOOST_TEST(answerTo(question) == softwareVersionId("v1"));
    BOOST_TEST(answerTo({ .stream = 99, .service = 0 }) == 0U);
    BOOST_TEST(answerTo({ .stream = 99, .service = stream_lookup::serviceId("other") }) == 0U);
    state.servers.put(listed("b", "v2"), system_clock_source().now());
    BOOST_TEST(answerTo(question) == 0U);
}

BOOST_AUTO_TEST_CASE(no_stream_begins_at_a_version_before_outdated_routers_notice_that_they_are)
{
    static_assert(served_versions::LAUNCH_DELAY > served_versions::LIST_LIFETIME + stream_lookup::ANSWER_TIMEOUT);
    const auto now = system_clock_source().now();
    state.hasServers = true;
    state.servers.put(listed("b", "v2"), now);
    auto query = placement_query();
    query.service = "pool";
    query.beginsStream = true;
    const auto isExcluded = [&](const std::string &id, const std::string &version, time_point at) {
        return excludedServers(state, query, at).servers.contains(server_loads::incarnationId(listed(id, version)));
    };
    BOOST_TEST(isExcluded("b", "v2", now + 1s));
    BOOST_TEST(!isExcluded("a", "v1", now + 1s));
    BOOST_TEST(!isExcluded("b", "v2", now + served_versions::LAUNCH_DELAY + 1s));
    query.beginsStream = false;
    BOOST_TEST(!isExcluded("b", "v2", now + 1s));
    // Without other servers, streams begin at the new version.
    query.beginsStream = true;
    state.servers.remove("a", 99, now);
    state.servers.tick(now + 10s);
    BOOST_TEST(!isExcluded("b", "v2", now + 1s));
}

BOOST_AUTO_TEST_CASE(versions_that_a_router_finds_when_it_starts_are_new_unless_the_record_has_them)
{
    auto versions = served_versions();
    const auto now = system_clock_source().now();
    versions.noteServed("pool", "v1", served_versions::source::firstList, now);
    versions.noteServed("pool", "v2", served_versions::source::firstList, now + 1ms);
    BOOST_TEST(!versions.isNew("pool", "v2", now + 1ms));
    versions.noteServed("pool", "v1", served_versions::source::record, now);
    BOOST_TEST(!versions.isNew("pool", "v1", now));
    BOOST_TEST(versions.isNew("pool", "v2", now + 1ms));
    BOOST_TEST(versions.isNew("pool", "v3", now));
    BOOST_TEST(!versions.isNew("pool", "v2", now + 1ms + served_versions::LAUNCH_DELAY));
    BOOST_TEST(!versions.isNew("other", "v2", now));
}

BOOST_AUTO_TEST_CASE(streams_are_forgotten_and_bounded)
{
    auto streams = stream_versions();
    const auto now = system_clock_source().now();
    streams.note({ 1, 5 }, true, now);
    streams.note({ 2, 6 }, false, now + 10s);
    streams.note({ 3, 0 }, false, now);
    BOOST_TEST(streams.size() == 2U);
    BOOST_TEST(streams.own().size() == 1U);
    streams.expire(5s, now + 11s);
    BOOST_TEST(!streams.find(1));
    BOOST_TEST((streams.find(2) == 6U));
    for (auto id = std::uint64_t(10); id < 10 + 2 * stream_versions::MAX_STREAMS; ++id) {
        streams.note({ id, 1 }, false, now);
    }
    BOOST_TEST(streams.size() == stream_versions::MAX_STREAMS);
}

BOOST_AUTO_TEST_CASE(a_record_that_cannot_be_read_leaves_the_versions_before_the_start_unknown)
{
    auto why = last_reason();
    const auto versions = served_versions::version_names{ { "pool", { "v1", "v2" } }, { "desk", { "7" } } };
    BOOST_TEST((version_record::decode(version_record::encode(versions), why) == versions));
    for (const auto *value :
         { "", "[]", "{}", R"({"versions":[]})", R"({"versions":{"pool":"v1"}})", R"({"versions":{"pool":[1]}})" }) {
        BOOST_TEST(!version_record::decode(value, why).has_value(), value);
    }
}

BOOST_AUTO_TEST_SUITE_END()
