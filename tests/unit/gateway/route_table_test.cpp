#include "marjoramloom/gateway/knowledge/route_table.h"

#include "platform/configuration_format.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto makeRoute(std::string name, std::string prefix) -> route_rule
{
    auto route = route_rule();
    route.name = std::move(name);
    route.host = "desk.example";
    route.pathPrefix = std::move(prefix);
    route.targets = { { "desk", 1 } };
    return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table_test)

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_of_the_host_is_selected)
{
    auto content = route_table_content();
    content.routes = { makeRoute("root", "/"), makeRoute("a", "/a/"), makeRoute("ab", "/a/b/") };
    const auto table = route_table(std::move(content));
    BOOST_TEST(table.findRoute("desk.example", "/a/b/c")->name == "ab");
    BOOST_TEST(table.findRoute("DESK.example:80", "/a/bc")->name == "a");
    BOOST_TEST(table.findRoute("desk.example", "/a")->name == "root");
    BOOST_TEST((table.findRoute("other.example", "/a/") == nullptr));
}

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded_field_by_field_and_invalid_routes_are_skipped)
{
    auto why = last_reason();
    const auto content = platform::decodeConfiguration(
        R"({"version":7,"routes":[
            {"name":"talk","host":"desk.example","path_prefix":"/t/","route_kind":"streaming","timeout_ms":6000,"slo_ms":500,
             "split":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2,"anonymous":false,
             "sticky":true,"resumable":true,"itl_target_ms":200},
            {"name":"odd","host":"desk.example","path_prefix":"/o/","route_kind":"telepathic","service":"a"}],
            "services":[{"name":"a","max_conns":370,"backend":{"slots":64,"kv_capacity":304154}},{"name":"b"}],
            "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000,"tokens_per_s":360000},
            "tenants":[{"name":"alpha","api_keys":["k1","k2"],"priority":1},{"name":5}]})",
        why);
    BOOST_REQUIRE(content.has_value());
    BOOST_TEST(content->version == 7U);
    BOOST_REQUIRE(content->routes.size() == 1U);
    const auto &route = content->routes.front();
    BOOST_TEST((route.kind == route_kind::eventStream && route.resumable && route.mayRetry() && route.carriesPrompt));
    BOOST_TEST(route.timeout.count() == 6'000);
    BOOST_TEST(route.latencyObjective.count() == 500);
    BOOST_TEST(route.eventGapObjective.count() == 200);
    BOOST_TEST(route.maxAttempts == 2U);
    BOOST_TEST(route.targets[0].weight == 90U);
    BOOST_TEST(content->services[0].engine->kvCapacityTokens == 304'154U);
    BOOST_TEST(!content->services[1].engine.has_value());
    BOOST_TEST(content->accountsByKey.at("k2").name == "alpha");
    BOOST_TEST(content->limits.headerBytes == 16'384U);
    BOOST_TEST(content->limits.bodyBytes == caller_limits().bodyBytes);
}

BOOST_AUTO_TEST_CASE(a_malformed_configuration_is_rejected_with_a_reason)
{
    for (const auto *text : { "", "[]", "{}", R"({"version":-1,"routes":[]})", R"({"version":1})", "\xff\xfe" }) {
        auto why = last_reason();
        BOOST_TEST(!platform::decodeConfiguration(text, why).has_value());
        BOOST_TEST((why.kind == failure_kind::protocolViolation));
    }
}

BOOST_AUTO_TEST_SUITE_END()
