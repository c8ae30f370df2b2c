#include "workload.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace marjoramloom::bench {

namespace {

constexpr auto accountCount = std::size_t(16);
constexpr auto tailProbability = 0.02; ///< Of a request that runs many times longer.
constexpr auto tailFactor = 30.0;
constexpr auto hintSpread = 4.0; ///< Largest factor between a hint and the truth, either way.
constexpr auto longestOutput = 12'000.0; ///< Tokens; engines end an answer there.

/// Routers by number; those of data centre N are 3N to 3N + 2.
auto entryRouters(std::size_t account) -> std::vector<std::uint32_t>
{
    // Half of the accounts reach the first data centre only, a few each of the others, the rest all.
    if (account < 8) {
        return { 0, 1, 2 };
    }
    if (account < 11) {
        return { 3, 4 };
    }
    if (account < 13) {
        return { 6 };
    }
    return { 0, 1, 2, 3, 4, 5, 6, 7, 8 };
}

/// Sixteen accounts: three large ones, one of them a flooder; a few that reach one quiet data centre only.
auto makeAccounts() -> std::vector<account_entry>
{
    auto accounts = std::vector<account_entry>();
    for (auto number = std::size_t(0); number < accountCount; ++number) {
        auto made = account_entry();
        made.name = "account-" + std::to_string(number);
        const auto large = number == 0 || number == 9 || number == 14;
        made.weight = large ? 3 : 1;
        made.demand = large ? 4 : 1;
        made.routers = entryRouters(number);
        made.backlog = large ? 96 : 32;
        accounts.push_back(made);
    }
    constexpr auto flooder = std::size_t(1);
    accounts[flooder].backlog = 200;
    return accounts;
}

} // namespace

auto coachworksDeployment() -> deployment
{
    auto made = deployment();
    made.name = "coachworks";
    made.accounts = makeAccounts();
    auto chat = request_class{ "order_desk_chat" };
    chat.hedged = true;
    chat.share = 0.45;
    chat.medianPrompt = 500;
    chat.prefixTokens = 600;
    chat.prefixes = 16;
    chat.medianOutput = 90;
    auto status = request_class{ "status_stream" };
    status.hedged = true;
    status.share = 0.45;
    status.medianPrompt = 150;
    status.prefixTokens = 300;
    status.prefixes = 4;
    status.medianOutput = 40;
    auto draft = request_class{ "specification_draft" };
    draft.length = work_length::longWork;
    draft.suspendable = true;
    draft.maxSuspensions = 20;
    draft.share = 0.1;
    draft.medianPrompt = 1'500;
    draft.prefixTokens = 1'000;
    draft.prefixes = 4;
    draft.medianOutput = 600;
    draft.maxWaitSeconds = 600;
    auto order = request_class{ "deposit_or_release", service_index::orders };
    made.classes = { chat, status, draft, order };
    return made;
}

auto franchiseDeployment() -> deployment
{
    auto made = deployment();
    made.name = "franchise";
    made.oneWaySeconds = 0.0015;
    made.engines = 18;
    made.engine.cacheTokens = 120'000;
    made.accounts = makeAccounts();
    auto review = request_class{ "warranty_review" };
    review.length = work_length::longWork;
    review.suspendable = true;
    review.maxSuspensions = 20;
    review.share = 0.08;
    review.medianPrompt = 800;
    review.prefixTokens = 20'000;
    review.prefixes = 4;
    review.medianOutput = 900;
    review.maxWaitSeconds = 600;
    auto chat = request_class{ "installer_chat" };
    chat.hedged = true;
    chat.share = 0.42;
    chat.medianPrompt = 400;
    chat.prefixTokens = 1'500;
    chat.prefixes = 8;
    chat.medianOutput = 80;
    auto quick = request_class{ "quick_reply" };
    quick.hedged = true;
    quick.share = 0.5;
    quick.medianPrompt = 200;
    quick.prefixTokens = 300;
    quick.prefixes = 4;
    quick.medianOutput = 30;
    auto order = request_class{ "replacement_order", service_index::orders };
    auto stock = request_class{ "stock_check", service_index::orders };
    made.classes = { review, chat, quick, order, stock };
    return made;
}

auto drawClass(const deployment &where, random_source &random,
               const std::function<bool(const request_class &)> &included) -> std::size_t
{
    auto total = 0.0;
    for (const auto &candidate : where.classes) {
        total += included(candidate) ? candidate.share : 0;
    }
    auto left = boost::random::uniform_01<double>()(random) * total;
    auto chosen = std::size_t(0);
    for (auto index = std::size_t(0); index < where.classes.size(); ++index) {
        if (!included(where.classes[index])) {
            continue;
        }
        chosen = index;
        left -= where.classes[index].share;
        if (left <= 0) {
            break;
        }
    }
    return chosen;
}

auto drawRequest(const deployment &where, std::size_t kind, random_source &random) -> drawn_request
{
    const auto &rules = where.classes[kind];
    auto uniform = boost::random::uniform_01<double>();
    auto drawn = drawn_request();
    drawn.kind = kind;
    if (rules.target != service_index::model) {
        drawn.hint = drawn.outputTokens;
        return drawn;
    }
    auto prompt = boost::random::lognormal_distribution<double>(std::log(rules.medianPrompt), 0.5);
    auto output = boost::random::lognormal_distribution<double>(std::log(rules.medianOutput), rules.outputSpread);
    drawn.promptTokens = rules.prefixTokens + std::round(prompt(random));
    drawn.prefixTokens = rules.prefixTokens;
    const auto prefix = static_cast<std::uint64_t>(uniform(random) * rules.prefixes);
    drawn.prefixHash = rules.prefixTokens > 0 ? hash64(rules.name, prefix + 1) : 0;
    const auto tail = uniform(random) < tailProbability ? tailFactor : 1;
    drawn.outputTokens = std::clamp(std::round(output(random) * tail), 1.0, longestOutput);
    drawn.hint = drawn.outputTokens * std::pow(hintSpread, 2 * uniform(random) - 1);
    return drawn;
}

} // namespace marjoramloom::bench
