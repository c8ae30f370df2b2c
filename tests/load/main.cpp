// Sends mixed load to routers. Checks each answer against the content that the stand-ins generate, and each order
// against the stand-ins' execution records.

#include "load_report.h"
#include "load_run.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <iostream>
#include <popt.h>

namespace {

using namespace marjoramloom::load;

auto splitList(const char *text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    if (text != nullptr) {
        boost::algorithm::split(parts, std::string(text), boost::algorithm::is_any_of(","));
    }
    return parts;
}

auto parse(int argc, const char **argv) -> std::optional<load_plan>
{
    auto plan = load_plan();
    char *routers = nullptr;
    char *accounts = nullptr;
    char *servers = nullptr;
    const poptOption options[] = {
        { "routers", 'r', POPT_ARG_STRING, &routers, 0, "callers' listeners", "IP:PORT,..." },
        { "accounts", 'a', POPT_ARG_STRING, &accounts, 0, "account names; each key is key-<name>", "NAME,..." },
        { "order-servers", 's', POPT_ARG_STRING, &servers, 0, "stand-ins whose record is checked", "IP:PORT,..." },
        { "requests", 'n', POPT_ARG_INT, &plan.requests, 0, "requests in all", "N" },
        { "concurrency", 'c', POPT_ARG_INT, &plan.concurrency, 0, "requests at once", "N" },
        { "seed", 0, POPT_ARG_INT, &plan.seed, 0, "seed of the mix", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    auto *context = poptGetContext(nullptr, argc, argv, options, 0);
    const auto valid = poptGetNextOpt(context) == -1 && poptPeekArg(context) == nullptr && routers && accounts;
    if (!valid) {
        poptPrintUsage(context, stderr, 0);
    }
    plan.routers = splitList(routers);
    plan.accounts = splitList(accounts);
    plan.orderServers = splitList(servers);
    free(routers);
    free(accounts);
    free(servers);
    poptFreeContext(context);
    return valid ? std::optional(plan) : std::nullopt;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto plan = parse(argc, const_cast<const char **>(argv));
    if (!plan) {
        return 2;
    }
    const auto outcomes = runLoad(*plan);
    const auto executions = countExecutions(plan->orderServers);
    return printReport(outcomes, executions, std::cout) ? 0 : 1;
}
