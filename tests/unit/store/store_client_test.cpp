#include "marjoramloom/store/store_client.h"

#include "support/fleet.h"
#include "support/run_coroutine.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom;

namespace {

/// A client and the platform's stand-in.
struct platform_fixture
{
    boost::asio::io_context context;
    counter_registry counters;
    test::standin platform{ "platform", { "platform" }, "/dev/null" };
    store_client client{ context.get_executor(), options(), counters };

    auto options() const -> store_options
    {
        return { .addresses = { platform.address() },
                 .timeout = std::chrono::milliseconds(400),
                 .watchSilence = std::chrono::milliseconds(1'500),
                 .retryFirst = std::chrono::milliseconds(5),
                 .retryLimit = std::chrono::milliseconds(20) };
    }

    template<typename Value>
    auto run(boost::asio::awaitable<Value> work) -> Value
    {
        auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }

    auto create(const std::string &name) -> write_result
    {
        auto why = last_reason();
        return run(client.create("kind", name, "value", why)).result;
    }

    auto revisionOf(const std::string &name) -> std::uint64_t
    {
        auto why = last_reason();
        const auto object = run(client.get("kind", name, why));
        return object ? object->revision : 0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_client_test, platform_fixture)

BOOST_AUTO_TEST_CASE(writes_are_conditional)
{
    auto why = last_reason();
    BOOST_TEST(revisionOf("a") == 0U);
    BOOST_TEST((create("a") == write_result::written));
    BOOST_TEST((create("a") == write_result::conflict));
    const auto revision = revisionOf("a");
    const auto stale = run(client.update("kind", "a", "x", revision + 7, why));
    BOOST_TEST((stale.result == write_result::conflict));
    BOOST_TEST(stale.current.revision == revision);
    BOOST_TEST(stale.current.value == "value");
    BOOST_TEST((run(client.update("kind", "a", "x", revision, why)).result == write_result::written));
    BOOST_TEST((run(client.remove("kind", "a", revisionOf("a"), why)).result == write_result::written));
    BOOST_TEST(run(client.list("kind", why))->objects.empty());
}

BOOST_AUTO_TEST_CASE(the_outcome_of_a_write_tells_what_is_known)
{
    platform.setFaults(R"([{"kind":"outage"}])");
    BOOST_TEST((create("refused") == write_result::notSent));
    platform.setFaults(R"([{"kind":"lose_answer","silent":true}])");
    BOOST_TEST((create("lost") == write_result::unknown));
    platform.setFaults(R"([{"kind":"close"}])");
    BOOST_TEST((create("closed") == write_result::unknown));
    platform.setFaults("[]");
    BOOST_TEST(revisionOf("refused") == 0U);
    BOOST_TEST(revisionOf("lost") > 0U);
    auto nowhere = store_client(context.get_executor(), { .addresses = { "127.0.0.1:1" } }, counters);
    auto why = last_reason();
    BOOST_TEST((run(nowhere.create("kind", "b", "v", why)).result == write_result::notSent));
    BOOST_TEST((why.kind == failure_kind::notSent));
}

BOOST_AUTO_TEST_CASE(reads_survive_a_connection_that_went_silent_and_a_dead_address)
{
    BOOST_TEST((create("a") == write_result::written));
    platform.setFaults(R"([{"kind":"freeze_open"}])");
    platform.setFaults("[]");
    BOOST_TEST(revisionOf("a") > 0U);
    auto two = store_client(context.get_executor(), { .addresses = { "127.0.0.1:1", platform.address() } }, counters);
    auto why = last_reason();
    BOOST_TEST((run(two.create("kind", "b", "v", why)).result == write_result::written));
}

BOOST_AUTO_TEST_CASE(a_watch_that_falls_silent_goes_on_where_it_was)
{
    auto seen = std::vector<std::string>();
    const auto onEvent = [&](const watch_event &event) {
        if (event.kind == watch_event_kind::bookmark && seen.size() == 1) {
            platform.setFaults(R"([{"kind":"freeze_open"}])");
            platform.setFaults("[]");
            const auto body = std::string(R"({"metadata":{"name":"b"},"spec":"v"})");
            test::httpCall(platform.address(), { "POST", "/v1/objects/kind", {}, body });
            seen.emplace_back("frozen");
        }
        if (event.kind == watch_event_kind::put) {
            seen.push_back(event.object.name);
        }
        return seen.size() < 3;
    };
    BOOST_TEST((create("a") == write_result::written));
    const auto end = run(client.watch({ "kind" }, 0, onEvent));
    BOOST_TEST((end == watch_end::stopped));
    const auto expected = std::vector<std::string>{ "a", "frozen", "b" };
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
    BOOST_TEST(counters.at("marjoramloom_platform_watch_redials_total").value() >= 1U);
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_are_fetched_together)
{
    auto patient = options();
    patient.pace.period = std::chrono::milliseconds(300);
    auto watching = store_client(context.get_executor(), patient, counters);
    constexpr auto changes = 10;
    auto writer = std::thread([this] {
        for (auto number = 0; number < changes; ++number) {
            const auto name = std::to_string(number);
            const auto body = R"({"metadata":{"name":")" + name + R"("},"spec":"v"})";
            test::httpCall(platform.address(), { "POST", "/v1/objects/kind", {}, body });
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
    auto seen = 0;
    const auto end = run(watching.watch({ "kind" }, 0, [&](const watch_event &event) {
        seen += event.kind == watch_event_kind::put ? 1 : 0;
        return seen < changes;
    }));
    writer.join();
    BOOST_TEST((end == watch_end::stopped));
    // Changes of 200 ms: one call when the first comes, one 300 ms later for the others, one to spare.
    BOOST_TEST(counters.at("marjoramloom_platform_calls_total").value() <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()
