#include "workload.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace marjoramloom::bench {

namespace {

constexpr auto accountCount = std::size_t(16);
constexpr auto tailProbability = 0.02; ///< Of a request whose output is tailFactor times as long.
constexpr auto tailFactor = 30.0;
constexpr auto maxHintFactor = 4.0; ///< A hint is off by up to this factor in either direction.
constexpr auto maxOutputTokens = 12'000.0; ///< Engines truncate answers at this length.

/// Numbers of the routers that an account uses; those of data centre N are 3N to 3N + 2.
auto entryRouters(std::size_t account) -> std::vector<std::uint32_t>
{
    // Half of the accounts use the first data centre only, a few only one of the others, and the rest all.
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

/// Sixteen accounts: three large ones, a small one with an excessive backlog, and a few that use only a data centre
/// with little load.
auto makeAccounts() -> std::vector<simulated_account>
{
    auto accounts = std::vector<simulated_account>();
    for (auto number = std::size_t(0); number < accountCount; ++number) {
        auto account = simulated_account();
        account.name = "account-" + std::to_string(number);
        const auto isLarge = number == 0 || number == 9 || number == 14;
        account.weight = isLarge ? 3 : 1;
        account.demand = isLarge ? 4 : 1;
        account.routers = entryRouters(number);
        account.backlog = isLarge ? 96 : 32;
        accounts.push_back(account);
    }
    constexpr auto flooder = std::size_t(1);
    accounts[flooder].backlog = 200;
    return accounts;
}

} // namespace

auto coachworksDeployment() -> deployment_settings
{
    auto deployment = deployment_settings();
    deployment.name = "coachworks";
    deployment.accounts = makeAccounts();
    auto chat = request_class{ "order_desk_chat" };
    chat.hedged = true;
    chat.share = 0.45;
    chat.medianPromptTokens = 500;
    chat.prefixTokens = 600;
    chat.prefixCount = 16;
    chat.medianOutputTokens = 90;
    auto status = request_class{ "status_stream" };
    status.hedged = true;
    status.share = 0.45;
    status.medianPromptTokens = 150;
    status.prefixTokens = 300;
    status.prefixCount = 4;
    status.medianOutputTokens = 40;
    auto draft = request_class{ "specification_draft" };
    draft.length = work_length::longWork;
    draft.suspendable = true;
    draft.maxSuspensions = 20;
    draft.share = 0.1;
    draft.medianPromptTokens = 1'500;
    draft.prefixTokens = 1'000;
    draft.prefixCount = 4;
    draft.medianOutputTokens = 600;
    draft.maxWaitSeconds = 600;
    auto order = request_class{ "deposit_or_release", service_index::orders };
    deployment.classes = { chat, status, draft, order };
    return deployment;
}

auto franchiseDeployment() -> deployment_settings
{
    auto deployment = deployment_settings();
    deployment.name = "franchise";
    deployment.oneWayLatencySeconds = 0.0015;
    deployment.engines = 18;
    deployment.engine.cacheCapacityTokens = 120'000;
    deployment.accounts = makeAccounts();
    auto review = request_class{ "warranty_review" };
    review.length = work_length::longWork;
    review.suspendable = true;
    review.maxSuspensions = 20;
    review.share = 0.08;
    review.medianPromptTokens = 800;
    review.prefixTokens = 20'000;
    review.prefixCount = 4;
    review.medianOutputTokens = 900;
    review.maxWaitSeconds = 600;
    auto chat = request_class{ "installer_chat" };
    chat.hedged = true;
    chat.share = 0.42;
    chat.medianPromptTokens = 400;
    chat.prefixTokens = 1'500;
    chat.prefixCount = 8;
    chat.medianOutputTokens = 80;
    auto quick = request_class{ "quick_reply" };
    quick.hedged = true;
    quick.share = 0.5;
    quick.medianPromptTokens = 200;
    quick.prefixTokens = 300;
    quick.prefixCount = 4;
    quick.medianOutputTokens = 30;
    auto order = request_class{ "replacement_order", service_index::orders };
    auto stock = request_class{ "stock_check", service_index::orders };
    deployment.classes = { review, chat, quick, order, stock };
    return deployment;
}

auto drawClass(const deployment_settings &deployment, random_source &random,
               const std::function<bool(const request_class &)> &included) -> std::size_t
{
    auto total = 0.0;
    for (const auto &candidate : deployment.classes) {
        total += included(candidate) ? candidate.share : 0;
    }
    auto remainingShare = boost::random::uniform_01<double>()(random) * total;
    auto chosen = std::size_t(0);
    for (auto index = std::size_t(0); index < deployment.classes.size(); ++index) {
        if (!included(deployment.classes[index])) {
            continue;
        }
        chosen = index;
        remainingShare -= deployment.classes[index].share;
        if (remainingShare <= 0) {
            break;
        }
    }
    return chosen;
}

auto drawRequest(const deployment_settings &deployment, std::size_t classIndex, random_source &random) -> drawn_request
{
    const auto &requestClass = deployment.classes[classIndex];
    auto uniform = boost::random::uniform_01<double>();
    auto drawn = drawn_request();
    drawn.classIndex = classIndex;
    if (requestClass.target != service_index::model) {
        drawn.outputHint = drawn.outputTokens;
        return drawn;
    }
    auto prompt = boost::random::lognormal_distribution<double>(std::log(requestClass.medianPromptTokens), 0.5);
    auto output = boost::random::lognormal_distribution<double>(std::log(requestClass.medianOutputTokens),
                                                                requestClass.outputSigma);
    drawn.promptTokens = requestClass.prefixTokens + std::round(prompt(random));
    drawn.prefixTokens = requestClass.prefixTokens;
    const auto prefix = static_cast<std::uint64_t>(uniform(random) * requestClass.prefixCount);
    drawn.prefixHash = requestClass.prefixTokens > 0 ? hash64(requestClass.name, prefix + 1) : 0;
    const auto lengthFactor = uniform(random) < tailProbability ? tailFactor : 1;
    drawn.outputTokens = std::clamp(std::round(output(random) * lengthFactor), 1.0, maxOutputTokens);
    drawn.outputHint = drawn.outputTokens * std::pow(maxHintFactor, 2 * uniform(random) - 1);
    return drawn;
}

} // namespace marjoramloom::bench
