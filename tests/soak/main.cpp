// Soak test: runs real router processes under randomized faults, one run for each seed, and prints each violated
// guarantee
// ("broken promise" in the output) with the seed of its run.

#include "soak_run.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <popt.h>

namespace {

using namespace marjoramloom::soak;

/// Options of the command line.
struct command_line
{
    int firstSeed = 1;
    int runs = 1;
    int seconds = 10;
    soak_options options;
};

auto parse(int argc, const char **argv) -> std::optional<command_line>
{
    auto line = command_line();
    const poptOption options[] = {
        { "seed", 's', POPT_ARG_INT, &line.firstSeed, 0, "seed of the first run", "N" },
        { "runs", 'n', POPT_ARG_INT, &line.runs, 0, "runs, with seeds one after the other", "N" },
        { "seconds", 't', POPT_ARG_INT, &line.seconds, 0, "time over which faults begin in each run", "N" },
        { "routers", 'r', POPT_ARG_INT, &line.options.routers, 0, "router processes", "N" },
        { "servers", 'b', POPT_ARG_INT, &line.options.servers, 0, "backend server processes", "N" },
        { "callers", 'c', POPT_ARG_INT, &line.options.callers, 0, "callers at once", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    auto *context = poptGetContext(nullptr, argc, argv, options, 0);
    const auto valid = poptGetNextOpt(context) == -1 && poptPeekArg(context) == nullptr && line.runs > 0
        && line.seconds > 0 && line.options.routers > 0 && line.options.servers > 0 && line.options.callers > 0;
    if (!valid) {
        poptPrintUsage(context, stderr, 0);
    }
    poptFreeContext(context);
    return valid ? std::optional(line) : std::nullopt;
}

auto servedOf(const run_history &history) -> std::size_t
{
    auto served = std::size_t(0);
    for (const auto &call : history.outcomes) {
        served += call.status == 200 && call.complete ? 1 : 0;
    }
    return served;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto line = parse(argc, const_cast<const char **>(argv));
    if (!line) {
        return 2;
    }
    auto failed = 0;
    for (auto run = 0; run < line->runs; ++run) {
        line->options.seed = static_cast<std::uint64_t>(line->firstSeed + run);
        line->options.faultTime = std::chrono::seconds(line->seconds);
        auto soak = soak_run(line->options);
        const auto violations = soak.execute();
        std::cout << "seed " << line->options.seed << ": " << soak.history().outcomes.size() << " requests, "
                  << servedOf(soak.history()) << " served, " << violations.size() << " broken promises\n";
        for (const auto &violation : violations) {
            std::cout << "  " << violation << "\n";
        }
        if (!violations.empty()) {
            // The logs are deleted at the end unless MARJORAMLOOM_KEEP is set.
            std::cout << "  logs: " << soak.folder() << "\n";
            for (const auto &fault : generateFaults(line->options.seed, line->options.faultTime)) {
                std::cout << "  fault " << marjoramloom::nameOf(fault.kind) << " at " << fault.at.count() << " ms for "
                          << fault.duration.count() << " ms, target " << fault.target << "\n";
            }
        }
        std::cout << std::flush;
        failed += violations.empty() ? 0 : 1;
    }
    std::cout << "soak: " << line->runs - failed << " of " << line->runs << " runs kept every promise\n";
    return failed == 0 ? 0 : 1;
}
