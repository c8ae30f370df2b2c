// Runs one stand-in: a process that simulates an external system in tests and in scripts/demo. It can inject faults and
// records what it executed; both are accessed by the HTTP paths /control/faults and /control/record.

#include "engine_standin.h"
#include "platform_standin.h"
#include "routed_standin.h"
#include "service_standin.h"

#include <iostream>
#include <popt.h>

namespace {

using namespace standins;

constexpr auto exitUsage = 2;

/// Options of the command line. Each kind of stand-in uses some of them.
struct command_line
{
    std::string listen = "127.0.0.1:0";
    std::string name;
    std::string dataCentre;
    int slots = 8;
    double firstTokenMs = 20;
    double tokenMs = 2;
    double prefillMs = 0.05;
    int cacheTokens = 100'000;
    int loadLagMs = 1'000;
    int callMs = 0;
    int eventMs = 5;
    int callSlots = 0;
    int queueLength = 0;
    int hidesEra = 0;
    int pageSize = static_cast<int>(platform_standin_options().pageSize);
    int checksFencing = 0;
    int seed = 1;
    std::string standin;
};

/// Parses the command line. The strings that popt returns are copied before they and its context are freed.
auto parse(int argc, const char **argv) -> std::optional<command_line>
{
    auto parsed = command_line();
    char *listen = nullptr;
    char *name = nullptr;
    char *dataCentre = nullptr;
    const poptOption options[] = {
        { "listen", 'l', POPT_ARG_STRING, &listen, 0, "address; port 0 lets the system choose", "IP:PORT" },
        { "name", 'n', POPT_ARG_STRING, &name, 0, "name in answers", "NAME" },
        { "data-centre", 0, POPT_ARG_STRING, &dataCentre, 0, "engine: data centre in load reports", "NAME" },
        { "slots", 0, POPT_ARG_INT, &parsed.slots, 0, "engine: requests at once", "N" },
        { "first-token-ms", 0, POPT_ARG_DOUBLE, &parsed.firstTokenMs, 0, "engine: time to first token", "MS" },
        { "token-ms", 0, POPT_ARG_DOUBLE, &parsed.tokenMs, 0, "engine: time between tokens", "MS" },
        { "prefill-ms", 0, POPT_ARG_DOUBLE, &parsed.prefillMs, 0, "engine: per prompt token not cached", "MS" },
        { "cache-tokens", 0, POPT_ARG_INT, &parsed.cacheTokens, 0, "engine: size of the prefix cache", "N" },
        { "load-lag-ms", 0, POPT_ARG_INT, &parsed.loadLagMs, 0, "engine: age of load reports", "MS" },
        { "checks-fencing", 0, POPT_ARG_NONE, &parsed.checksFencing, 0, "engine: refuse old fencing numbers", nullptr },
        { "call-ms", 0, POPT_ARG_INT, &parsed.callMs, 0, "service, routed: duration of a call", "MS" },
        { "call-slots", 0, POPT_ARG_INT, &parsed.callSlots, 0, "routed: calls at once; 0: no limit", "N" },
        { "queue", 0, POPT_ARG_INT, &parsed.queueLength, 0, "routed: calls that may wait for a slot", "N" },
        { "event-ms", 0, POPT_ARG_INT, &parsed.eventMs, 0, "routed: time before each event", "MS" },
        { "page-size", 0, POPT_ARG_INT, &parsed.pageSize, 0, "platform: objects in one page of a list", "N" },
        { "hides-era", 0, POPT_ARG_NONE, &parsed.hidesEra, 0, "platform: answers state no era of the store", nullptr },
        { "seed", 0, POPT_ARG_INT, &parsed.seed, 0, "engine: seed of the variation of token delays", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    auto *context = poptGetContext(nullptr, argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "platform|engine|service|routed [OPTION...]");
    const auto result = poptGetNextOpt(context);
    const auto *standin = poptGetArg(context);
    const auto valid = result == -1 && standin != nullptr && poptPeekArg(context) == nullptr;
    if (valid) {
        parsed.standin = standin;
        parsed.listen = listen == nullptr ? parsed.listen : listen;
        parsed.name = name == nullptr ? parsed.standin : name;
        parsed.dataCentre = dataCentre == nullptr ? "" : dataCentre;
    } else {
        poptPrintUsage(context, stderr, 0);
    }
    free(listen);
    free(name);
    free(dataCentre);
    poptFreeContext(context);
    return valid ? std::optional(parsed) : std::nullopt;
}

template<typename Standin>
auto runStandin(boost::asio::io_context &context, Standin &standin, standin_context &shared, const std::string &listen)
    -> int
{
    const auto colon = listen.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::strtoul(listen.c_str() + colon + 1, nullptr, 10));
    auto signals = boost::asio::signal_set(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    auto server = http_server<Standin>(context, standin, shared);
    server.start(listen.substr(0, colon), port);
    context.run();
    return 0;
}

auto engineOptions(const command_line &line) -> engine_options
{
    auto options = engine_options();
    options.name = line.name;
    options.dataCentre = line.dataCentre;
    options.slots = static_cast<std::uint32_t>(line.slots);
    options.firstTokenMs = line.firstTokenMs;
    options.tokenMs = line.tokenMs;
    options.prefillMsPerToken = line.prefillMs;
    options.cacheTokens = static_cast<std::uint64_t>(line.cacheTokens);
    options.loadLagMs = line.loadLagMs;
    options.checksFencing = line.checksFencing != 0;
    options.seed = static_cast<std::uint64_t>(line.seed);
    return options;
}

auto run(const command_line &line) -> int
{
    auto context = boost::asio::io_context(1);
    auto shared = standin_context();
    if (line.standin == "platform") {
        auto options = platform_standin_options();
        options.pageSize = static_cast<std::size_t>(line.pageSize);
        options.statesEra = line.hidesEra == 0;
        auto platform = platform_standin(context, shared, options);
        return runStandin(context, platform, shared, line.listen);
    }
    if (line.standin == "engine") {
        auto engine = engine_standin(context, shared, engineOptions(line));
        return runStandin(context, engine, shared, line.listen);
    }
    if (line.standin == "service") {
        auto service = service_standin(shared, { line.name, line.callMs });
        return runStandin(context, service, shared, line.listen);
    }
    if (line.standin == "routed") {
        auto routed = routed_standin(shared,
                                     { .name = line.name,
                                       .callMs = line.callMs,
                                       .eventMs = line.eventMs,
                                       .slots = static_cast<std::size_t>(line.callSlots),
                                       .queueLength = static_cast<std::size_t>(line.queueLength) });
        return runStandin(context, routed, shared, line.listen);
    }
    std::cerr << "unknown stand-in '" << line.standin << "'; known are platform, engine, service, routed\n";
    return exitUsage;
}

} // namespace

auto main(int argc, const char **argv) -> int
{
    const auto line = parse(argc, argv);
    if (!line) {
        return exitUsage;
    }
    try {
        return run(*line);
    } catch (const std::exception &error) {
        std::cerr << "cannot start: " << error.what() << "\n";
        return 1;
    }
}
