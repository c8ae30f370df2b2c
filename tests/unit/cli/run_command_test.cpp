#include "marjoramloom/cli/run_command.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>
#include <vector>

using namespace marjoramloom;

namespace {

auto run(std::vector<const char *> arguments, std::string *served = nullptr) -> exit_code
{
    arguments.insert(arguments.begin(), "marjoramloom");
    const auto serve = [&](const std::string &path) {
        if (served != nullptr) {
            *served = path;
        }
        return 0;
    };
    return static_cast<exit_code>(runCommand(static_cast<int>(arguments.size()), arguments.data(), serve));
}

/// A temporary file that is deleted at the end of the test.
struct temporary_file
{
    explicit temporary_file(const std::string &text)
    {
        auto name = std::string("check_test_XXXXXX");
        ::close(::mkstemp(name.data()));
        path = name;
        std::ofstream(path) << text;
    }

    ~temporary_file()
    {
        std::remove(path.c_str());
    }

    std::string path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(run_command_test)

BOOST_AUTO_TEST_CASE(wrong_command_lines_return_the_usage_exit_code)
{
    BOOST_TEST((run({}) == exit_code::usage));
    BOOST_TEST((run({ "nonsense" }) == exit_code::usage));
    BOOST_TEST((run({ "apply" }) == exit_code::usage));
    BOOST_TEST((run({ "apply", "--nonsense", "a.toml" }) == exit_code::usage));
    BOOST_TEST((run({ "serve" }) == exit_code::usage));
    BOOST_TEST((run({ "delete", "profile" }) == exit_code::usage));
    BOOST_TEST((run({ "--help" }) == exit_code::success));
}

BOOST_AUTO_TEST_CASE(every_command_has_help)
{
    for (const auto *name :
         { "serve", "check", "apply", "diff", "get", "delete", "stop", "status", "orders", "version" }) {
        BOOST_TEST((run({ name, "--help" }) == exit_code::success), name);
    }
}

BOOST_AUTO_TEST_CASE(serve_passes_the_settings_path_on)
{
    auto served = std::string();
    BOOST_TEST((run({ "serve", "--settings", "router.toml" }, &served) == exit_code::success));
    BOOST_TEST(served == "router.toml");
}

BOOST_AUTO_TEST_CASE(check_reports_whether_files_are_valid)
{
    const auto good = temporary_file("[[profile]]\nname = \"quick\"\n");
    const auto wrong = temporary_file("[[profile]]\nname = \"quick\"\nretries = 99\n");
    const auto missingProfile = temporary_file("[[service]]\nname = \"desk\"\nprofile = \"missing\"\n");
    BOOST_TEST((run({ "check", good.path.c_str() }) == exit_code::success));
    BOOST_TEST((run({ "check", "--json", good.path.c_str() }) == exit_code::success));
    BOOST_TEST((run({ "check", good.path.c_str(), wrong.path.c_str() }) == exit_code::invalid));
    BOOST_TEST((run({ "check", missingProfile.path.c_str() }) == exit_code::success));
    BOOST_TEST((run({ "check", "--whole", missingProfile.path.c_str() }) == exit_code::invalid));
    BOOST_TEST((run({ "check", "no-such-file.toml" }) == exit_code::invalid));
}

BOOST_AUTO_TEST_CASE(commands_fail_as_unavailable_if_no_router_answers)
{
    // Nothing listens on port 1 of the loopback interface.
    BOOST_TEST((run({ "get", "--router", "127.0.0.1:1" }) == exit_code::unavailable));
    BOOST_TEST((run({ "get", "nonsense", "--router", "127.0.0.1:1" }) == exit_code::invalid));
    BOOST_TEST((run({ "stop", "engine-1", "--until", "soon", "--router", "127.0.0.1:1" }) == exit_code::invalid));
    BOOST_TEST((run({ "stop", "engine-1", "--until", "+5m", "--router", "127.0.0.1:1" }) == exit_code::unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
