#include "marjoramloom/cli/run_command.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>
#include <vector>

using namespace marjoramloom;

namespace {

auto run(std::vector<const char *> words, std::string *served = nullptr) -> exit_code
{
    words.insert(words.begin(), "marjoramloom");
    const auto serve = [&](const std::string &path) {
        if (served != nullptr) {
            *served = path;
        }
        return 0;
    };
    return static_cast<exit_code>(runCommand(static_cast<int>(words.size()), words.data(), serve));
}

/// A file that lives as long as the test.
struct scratch_file
{
    explicit scratch_file(const std::string &text)
    {
        auto name = std::string("check_test_XXXXXX");
        ::close(::mkstemp(name.data()));
        path = name;
        std::ofstream(path) << text;
    }

    ~scratch_file()
    {
        std::remove(path.c_str());
    }

    std::string path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(run_command_test)

BOOST_AUTO_TEST_CASE(wrong_command_lines_have_their_own_code)
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

BOOST_AUTO_TEST_CASE(serve_gets_its_settings)
{
    auto served = std::string();
    BOOST_TEST((run({ "serve", "--settings", "router.toml" }, &served) == exit_code::success));
    BOOST_TEST(served == "router.toml");
}

BOOST_AUTO_TEST_CASE(check_tells_valid_files_from_wrong_ones)
{
    const auto good = scratch_file("[[profile]]\nname = \"quick\"\n");
    const auto wrong = scratch_file("[[profile]]\nname = \"quick\"\nretries = 99\n");
    const auto orphan = scratch_file("[[service]]\nname = \"desk\"\nprofile = \"missing\"\n");
    BOOST_TEST((run({ "check", good.path.c_str() }) == exit_code::success));
    BOOST_TEST((run({ "check", "--json", good.path.c_str() }) == exit_code::success));
    BOOST_TEST((run({ "check", good.path.c_str(), wrong.path.c_str() }) == exit_code::invalid));
    BOOST_TEST((run({ "check", orphan.path.c_str() }) == exit_code::success));
    BOOST_TEST((run({ "check", "--whole", orphan.path.c_str() }) == exit_code::invalid));
    BOOST_TEST((run({ "check", "no-such-file.toml" }) == exit_code::invalid));
}

BOOST_AUTO_TEST_CASE(without_a_router_nothing_is_changed)
{
    // Port 1 of the loopback: nothing listens there.
    BOOST_TEST((run({ "get", "--router", "127.0.0.1:1" }) == exit_code::unavailable));
    BOOST_TEST((run({ "get", "nonsense", "--router", "127.0.0.1:1" }) == exit_code::invalid));
    BOOST_TEST((run({ "stop", "engine-1", "--until", "soon", "--router", "127.0.0.1:1" }) == exit_code::invalid));
    BOOST_TEST((run({ "stop", "engine-1", "--until", "+5m", "--router", "127.0.0.1:1" }) == exit_code::unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
