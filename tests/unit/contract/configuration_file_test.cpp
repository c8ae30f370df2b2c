#include "marjoramloom/contract/configuration_file.h"

#include "marjoramloom/contract/configuration_check.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto firstProblem(const std::string &text) -> std::string
{
    auto problems = configuration_problems();
    parseObjects(text, "a.toml", problems);
    return problems.empty() ? "none" : problems.front().message();
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_file_test)

BOOST_AUTO_TEST_CASE(errors_name_file_line_and_key)
{
    BOOST_TEST(firstProblem("[[profile]]\nname = \"quick\"\nretries = 11\n")
               == "a.toml:3: profile/quick: retries: 11 is out of range; 0 to 10 is allowed");
    BOOST_TEST(firstProblem("[[profile]]\nname = \"quick\"\nlength = \"tiny\"\n")
               == "a.toml:3: profile/quick: length: one of short, long is expected");
    BOOST_TEST(firstProblem("[[profile]]\nname = \"quick\"\nmax_wait_ms = 1.5\n")
               == "a.toml:3: profile/quick: max_wait_ms: a whole number is expected");
    BOOST_TEST(firstProblem("[[profil]]\nname = \"quick\"\n").starts_with("a.toml:1: profil: unknown kind"));
    BOOST_TEST(firstProblem("[[profile]]\nname = \"quick\"\nmaxwait = 5\n")
                   .starts_with("a.toml:3: profile/quick: maxwait: unknown key"));
    BOOST_TEST(firstProblem("[[profile]]\nname = \"Quick\"\n").starts_with("a.toml:2: profile/Quick: name: "));
    BOOST_TEST(firstProblem("[[profile]]\nname = \n").starts_with("a.toml:2: "));
}

BOOST_AUTO_TEST_CASE(objects_survive_conversion_to_toml_and_back)
{
    const auto text = std::string("[[planned_stop]]\nname = \"s1\"\nbackend_server = \"e1\"\n"
                                  "at = 2026-12-04T08:00:00+03:00\nuntil = 2026-12-04T06:30:00.250Z\n");
    auto problems = configuration_problems();
    const auto objects = parseObjects(text, "a.toml", problems);
    BOOST_TEST_REQUIRE(objects.size() == 1U);
    const auto &stop = std::get<planned_stop>(objects.front().object);
    BOOST_TEST(formatTime(stop.atUnixMs) == "2026-12-04T05:00:00.000Z");
    BOOST_TEST(formatTime(stop.untilUnixMs) == "2026-12-04T06:30:00.250Z");
    const auto again = parseObjects(toToml(objects.front().object), "b.toml", problems);
    BOOST_TEST(problems.empty());
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST(std::get<planned_stop>(again.front().object).untilUnixMs == stop.untilUnixMs);
    BOOST_TEST(!parseTime("2026-12-04T05:00:00").has_value());
    BOOST_TEST(!parseTime("1\nx = 2").has_value());
}

BOOST_AUTO_TEST_CASE(references_duplicates_and_contradictions_are_reported_with_locations)
{
    const auto hash = std::string(64, 'a');
    const auto text = "[[client_account]]\nname = \"a1\"\nkey_hashes = [\"" + hash + "\"]\n"
        + "[[client_account]]\nname = \"a2\"\nkey_hashes = [\"" + hash + "\"]\n"
        + "[[backend_server]]\nname = \"e1\"\nservice = \"m1\"\ndata_centre = \"d1\"\naddress = \"nowhere\"\n"
        + "[[planned_stop]]\nname = \"s1\"\nbackend_server = \"e2\"\nat = 2026-12-04T05:00:00Z\n"
        + "until = 2026-12-04T04:00:00Z\n";
    auto problems = configuration_problems();
    const auto objects = parseObjects(text, "a.toml", problems);
    BOOST_TEST(problems.empty());
    auto change = configuration_change{ .sequence = 1, .id = {}, .author = {}, .unixMs = 0, .operations = {} };
    for (const auto &located : objects) {
        change.operations.push_back(
            { operation_kind::put, kindOf(located.object), nameOf(located.object), located.object });
    }
    problems = checkConfiguration(applyOperations({}, change));
    locateProblems(objects, problems);
    auto lines = std::vector<std::string>();
    for (const auto &problem : problems) {
        lines.push_back(problem.message());
    }
    const auto expected = std::vector<std::string>{
        "a.toml:6: client_account/a2: key_hashes: the key is already used by client_account 'a1'",
        "a.toml:9: backend_server/e1: service: there is no service 'm1'",
        "a.toml:11: backend_server/e1: address: IP:port is expected",
        "a.toml:14: planned_stop/s1: backend_server: there is no backend_server 'e2'",
        "a.toml:16: planned_stop/s1: until: must be later than at",
    };
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
