#include "marjoramloom/core/log.h"
#include "marjoramloom/router/router_process.h"

#include <csignal>
#include <iostream>

namespace {

using namespace marjoramloom;

constexpr auto exitSettings = 2;
constexpr auto exitStart = 1;

/// Runs a router by the settings file \p path until it is told to stop.
auto serve(const std::string &path) -> int
{
    auto why = last_reason();
    const auto config = loadSettings(path, why);
    if (!config) {
        std::cerr << why.detail << "\n"
                  << "Mend the file and look it over with: marjoramloom check " << path << "\n";
        return exitSettings;
    }
    std::signal(SIGPIPE, SIG_IGN);
    configureLog(config->logLevel);
    auto router = router_process(*config);
    if (!router.start(why)) {
        std::cerr << why.text() << "\n";
        return exitStart;
    }
    router.run();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return argc == 4 ? serve(argv[3]) : exitSettings;
}
