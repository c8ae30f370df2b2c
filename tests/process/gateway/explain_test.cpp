#include "support/gateway_fleet.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <sys/wait.h>

using namespace marjoramloom::test;

namespace {

struct command_result
{
    int code = 0;
    std::string output;
};

auto runExplain(const gateway_fleet &fleet, const std::string &options) -> command_result
{
    const auto file = fleet.folder() + "/explain.txt";
    const auto command = std::string(std::getenv("MARJORAMLOOM")) + " explain " + options + " >" + file + " 2>&1";
    const auto status = std::system(command.c_str());
    auto text = std::ostringstream();
    text << std::ifstream(file).rdbuf();
    return { WEXITSTATUS(status), text.str() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_test)

// Guards against a command that sends the request, or that reports bad input and unreachable routers as explanations.
BOOST_AUTO_TEST_CASE(the_command_explains_a_request_without_sending_it)
{
    auto fleet = gateway_fleet();
    const auto &routers = fleet.routers();
    const auto fleetOption = " --fleet " + routers[0].operators + "," + routers[1].operators;
    const auto key = std::string(" --key ") + gateway_fleet::OPERATORS_KEY;
    const auto read = runExplain(fleet, "--host desk.example --path /read/1 --account alpha" + key + fleetOption);
    BOOST_TEST(read.code == 0);
    BOOST_TEST(read.output.find("outcome: sent") != std::string::npos);
    BOOST_TEST(read.output.find("server-0") != std::string::npos);
    const auto prompt = runExplain(fleet,
                                   "--route route/talk/ --account alpha --prompt 5c:80,91:41 --json" + key
                                       + " --router " + routers[0].operators);
    BOOST_TEST(prompt.code == 0);
    BOOST_TEST(prompt.output.find("\"candidates\"") != std::string::npos);
    const auto refused = runExplain(fleet, "--route route/read/ --account nobody" + key + fleetOption);
    BOOST_TEST(refused.code == 0);
    BOOST_TEST(refused.output.find("refused") != std::string::npos);
    BOOST_TEST(runExplain(fleet, "--deadline soon --route x --router 127.0.0.1:1").code == 2);
    BOOST_TEST(runExplain(fleet, "--route x --prompt nonsense" + key + fleetOption).code == 2);
    BOOST_TEST(runExplain(fleet, "--route x --router 127.0.0.1:1").code == 3);
    BOOST_TEST(runExplain(fleet, "--route x --key wrong" + fleetOption).code == 6);
    BOOST_TEST(fleet.countExecutions("explain") == 0);
    BOOST_TEST(fleet.call(routers[0], "/read/1", "after").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
