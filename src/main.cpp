#include "marjoramloom/cli/run_command.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/traffic/gateway_process.h"
#include "marjoramloom/router/router_process.h"

#include <csignal>
#include <iostream>

namespace {

using namespace marjoramloom;

/// Starts a gateway or router process and runs it until it stops. Returns the exit code.
template<typename Process>
auto runProcess(const settings &config) -> int
{
    auto why = last_reason();
    auto router = Process(config);
    if (!router.start(why)) {
        std::cerr << why.text() << "\n";
        return static_cast<int>(exit_code::unavailable);
    }
    router.run();
    flushLog();
    return 0;
}

/// Runs a gateway or a router, as the settings file \p path says, until it stops. Returns the exit code.
auto serve(const std::string &path) -> int
{
    auto why = last_reason();
    const auto config = loadSettings(path, why);
    if (!config) {
        std::cerr << why.detail << "\n"
                  << "Correct the file and check it with: marjoramloom check " << path << "\n";
        return static_cast<int>(exit_code::invalid);
    }
    std::signal(SIGPIPE, SIG_IGN);
    configureLog(config->logLevel);
    return config->gateway ? runProcess<gateway_process>(*config) : runProcess<router_process>(*config);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runCommand(argc, argv, serve);
}
