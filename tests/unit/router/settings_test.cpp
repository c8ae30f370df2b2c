#include "marjoramloom/router/settings.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

const auto complete = std::string(R"([instance]
name = "a1"
data_centre = "a"
[listen]
callers = "127.0.0.1:8001"
operators = "127.0.0.1:8002"
peers = "127.0.0.1:8003"
[operators]
key_hash = "0000000000000000000000000000000000000000000000000000000000000000"
[platform]
addresses = ["127.0.0.1:9000"]
)");

auto errorOf(const std::string &text) -> std::string
{
    auto why = last_reason();
    const auto parsed = parseSettings(text, "router.toml", why);
    return parsed ? std::string() : why.detail;
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

BOOST_AUTO_TEST_CASE(a_complete_file_is_accepted_with_defaults)
{
    auto why = last_reason();
    const auto parsed = parseSettings(complete, "router.toml", why);
    BOOST_REQUIRE_MESSAGE(parsed, why.text());
    BOOST_TEST(parsed->instance == "a1");
    BOOST_TEST(parsed->region == "a");
    BOOST_TEST(parsed->heartbeat.count() == 500);
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_named_with_its_line)
{
    const auto error = errorOf(complete + "[log]\ncolour = \"red\"\n");
    BOOST_TEST(contains(error, "router.toml:13: 'log.colour' is not a known key"), error);
}

BOOST_AUTO_TEST_CASE(an_unknown_table_is_named)
{
    BOOST_TEST(contains(errorOf(complete + "[extra]\n"), "'extra' is not a known table"));
}

BOOST_AUTO_TEST_CASE(a_value_out_of_range_names_the_range)
{
    const auto error = errorOf(complete + "[peers]\nheartbeat_ms = 1\n");
    BOOST_TEST(contains(error, "router.toml:13: 'peers.heartbeat_ms' must be from 50 to 10000"), error);
}

BOOST_AUTO_TEST_CASE(a_value_of_the_wrong_type_is_named)
{
    const auto error = errorOf(complete + "[limits]\nqueue = \"many\"\n");
    BOOST_TEST(contains(error, "'limits.queue' must be a whole number"), error);
}

BOOST_AUTO_TEST_CASE(contradicting_values_are_rejected)
{
    const auto error = errorOf(complete + "[peers]\nheartbeat_ms = 1000\ntimeout_ms = 1500\n");
    BOOST_TEST(contains(error, "at least three times heartbeat_ms"), error);
}

BOOST_AUTO_TEST_CASE(a_gateway_requires_a_single_thread)
{
    BOOST_TEST(contains(errorOf(complete + "[gateway]\n"), "instance.threads must be 1"));
    const auto single = std::string("[instance]\nthreads = 1\n") + complete.substr(complete.find('\n') + 1);
    auto why = last_reason();
    const auto text = single
        + "[gateway]\nkey_revocation_ms = 3000\ngrace_seconds = 2.5\nrepeat_ratio = 0.3\ndescriptors = 4100\n"
          "shared_rotation = true\nfair_refusals = true\nmemory_mb = 88\n";
    const auto parsed = parseSettings(text, "router.toml", why);
    BOOST_REQUIRE_MESSAGE(parsed, why.text());
    BOOST_REQUIRE(parsed->gateway.has_value());
    BOOST_TEST(!parsed->gateway->limitEngineMemory);
    const auto limited = parseSettings(text + "contracts = [\"other\", \"pressure\"]\n", "router.toml", why);
    BOOST_REQUIRE_MESSAGE(limited, why.text());
    BOOST_TEST(limited->gateway->limitEngineMemory);
    BOOST_TEST(parsed->gateway->keyLifetime.count() == 2'500);
    BOOST_TEST(parsed->gateway->gracePeriod.count() == 2'500);
    BOOST_TEST(parsed->gateway->retryBudgetSettings.ratio == 0.3);
    BOOST_TEST(parsed->gateway->maxFileDescriptors == 4'100U);
    BOOST_TEST(parsed->gateway->memoryMegabytes == 88U);
    BOOST_TEST(parsed->gateway->sharedRotation);
    BOOST_TEST(parsed->gateway->fairRefusals);
}

// A fleet whose settings do not name it would lose the tunnels.
BOOST_AUTO_TEST_CASE(a_gateway_opens_tunnels_unless_they_are_switched_off)
{
    const auto single =
        std::string("[instance]\nthreads = 1\n") + complete.substr(complete.find('\n') + 1) + "[gateway]\n";
    auto why = last_reason();
    const auto plain = parseSettings(single, "router.toml", why);
    BOOST_REQUIRE_MESSAGE(plain, why.text());
    BOOST_TEST(plain->gateway->tunnels);
    const auto without = parseSettings(single + "tunnels = false\n", "router.toml", why);
    BOOST_REQUIRE_MESSAGE(without, why.text());
    BOOST_TEST(!without->gateway->tunnels);
    const auto error = errorOf(single + "tunnels = 1\n");
    BOOST_TEST(contains(error, "'gateway.tunnels' must be"), error);
}

BOOST_AUTO_TEST_CASE(a_gateway_has_no_limits_of_places_unless_they_are_set)
{
    const auto single =
        std::string("[instance]\nthreads = 1\n") + complete.substr(complete.find('\n') + 1) + "[gateway]\n";
    auto why = last_reason();
    const auto plain = parseSettings(single, "router.toml", why);
    BOOST_REQUIRE_MESSAGE(plain, why.text());
    BOOST_TEST(plain->gateway->evacuationLimit.count() == 0);
    BOOST_TEST(plain->gateway->coldOvershoot == 0);
    const auto *text = "evacuation_ms = 5000\ncold_overshoot = 1.5\ncold_tolerance = 5\nregions = [\"a=up\"]\n";
    const auto limited = parseSettings(single + text, "router.toml", why);
    BOOST_REQUIRE_MESSAGE(limited, why.text());
    BOOST_TEST(limited->gateway->evacuationLimit.count() == 5'000);
    BOOST_TEST(limited->gateway->coldOvershoot == 1.5);
    BOOST_TEST(limited->gateway->coldTolerance == 5);
    BOOST_TEST(limited->gateway->regions.at("a") == "up");
    BOOST_TEST(contains(errorOf(single + "regions = [\"up\"]\n"), "'gateway.regions' must be a list"));
}

BOOST_AUTO_TEST_CASE(missing_keys_and_invalid_toml_are_rejected)
{
    BOOST_TEST(contains(errorOf(""), "'instance.name' is missing"));
    BOOST_TEST(contains(errorOf("[instance\n"), "router.toml:1"));
}

BOOST_AUTO_TEST_SUITE_END()
