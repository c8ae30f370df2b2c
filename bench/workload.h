#pragma once

#include "engine_fake.h"

#include "marjoramloom/contract/configuration.h"

#include <boost/random/mersenne_twister.hpp>
#include <string>
#include <vector>

namespace marjoramloom::bench {

using random_source = boost::random::mt19937_64;

/// Services of every workload, in the order in which their engines are numbered.
enum class service_index {
    model,
    orders,
};

/// Size distribution and scheduling rules of one kind of request.
struct request_class
{
    std::string name;
    service_index target = service_index::model;
    work_length length = work_length::shortWork;
    bool suspendable = false;
    std::uint32_t maxSuspensions = 3; ///< Per request.
    bool hedged = false;
    double share = 1; ///< Relative frequency within its service.
    double medianPromptTokens = 300; ///< Without the prefix.
    double prefixTokens = 0; ///< Length of the prompt prefix shared within the class.
    std::uint32_t prefixCount = 1; ///< Number of different prefixes in the class.
    double medianOutputTokens = 100;
    double outputSigma = 0.6; ///< Sigma of the lognormal distribution.
    double maxWaitSeconds = 30;
};

/// A client account with its demand and the routers that its callers use.
struct simulated_account
{
    std::string name;
    double weight = 1;
    double demand = 1; ///< Rate of requests, relative to other accounts.
    std::vector<std::uint32_t> routers; ///< Entry routers by number, drawn uniformly; repeated entries weigh more.
    std::uint32_t backlog = 24; ///< Outstanding requests in backlogged scenarios.
};

/// Sizes, latencies, accounts and request classes of a simulated deployment.
struct deployment_settings
{
    std::string name;
    std::uint32_t dataCentres = 3;
    std::uint32_t routersPerDataCentre = 3;
    double oneWayLatencySeconds = 0.001; ///< Between data centres.
    std::uint32_t engines = 12;
    std::uint32_t orderServers = 3;
    engine_settings engine;
    std::vector<simulated_account> accounts;
    std::vector<request_class> classes;
};

/// The properties of one request, including the length of its output, which routers do not know in advance.
struct drawn_request
{
    std::size_t classIndex = 0; ///< In deployment_settings::classes.
    double promptTokens = 0; ///< Including the prefix.
    std::uint64_t prefixHash = 0;
    double prefixTokens = 0;
    double outputTokens = 1;
    double outputHint = 0; ///< The caller's estimate of the output tokens, off by up to four times in either direction.
};

/// Workload of an order desk: chats, status streams, drafts of specifications, deposits and releases.
auto coachworksDeployment() -> deployment_settings;

/// Workload of a franchise: warranty reviews with a long shared manual, installers' chats, quick replies, orders and
/// stock checks.
auto franchiseDeployment() -> deployment_settings;

/// Draws a random request of the class with index \p classIndex.
auto drawRequest(const deployment_settings &deployment, std::size_t classIndex, random_source &random) -> drawn_request;

/// Draws the index of one of the classes that \p included accepts, weighted by their shares.
auto drawClass(const deployment_settings &deployment, random_source &random,
               const std::function<bool(const request_class &)> &included) -> std::size_t;

} // namespace marjoramloom::bench
