#pragma once

#include "engine_fake.h"

#include "marjoramloom/contract/configuration.h"

#include <boost/random/mersenne_twister.hpp>
#include <string>
#include <vector>

namespace marjoramloom::bench {

using random_source = boost::random::mt19937_64;

/// Services of every workload, by their place in the lists of engines.
enum class service_index {
    model,
    orders,
};

/// One kind of request.
struct request_class
{
    std::string name;
    service_index target = service_index::model;
    work_length length = work_length::shortWork;
    bool suspendable = false;
    std::uint32_t maxSuspensions = 3; ///< Per request.
    bool hedged = false;
    double share = 1; ///< Of its service's requests.
    double medianPrompt = 300; ///< Tokens of its own.
    double prefixTokens = 0; ///< Shared with others of the class.
    std::uint32_t prefixes = 1; ///< Different prefixes of the class.
    double medianOutput = 100; ///< Tokens.
    double outputSpread = 0.6; ///< Sigma of the lognormal distribution.
    double maxWaitSeconds = 30;
};

/// A client account and the routers that its callers reach.
struct account_entry
{
    std::string name;
    double weight = 1;
    double demand = 1; ///< Part of all requests, relative to other accounts.
    std::vector<std::uint32_t> routers; ///< Where its requests enter, by number; repeated ones more often.
    std::uint32_t backlog = 24; ///< Requests outstanding where all accounts are backlogged.
};

/// A deployment: its sizes, accounts and kinds of requests.
struct deployment
{
    std::string name;
    std::uint32_t dataCentres = 3;
    std::uint32_t routersPerDataCentre = 3;
    double oneWaySeconds = 0.001; ///< Between data centres.
    std::uint32_t engines = 12;
    std::uint32_t orderServers = 3;
    engine_settings engine;
    std::vector<account_entry> accounts;
    std::vector<request_class> classes;
};

/// One request with all that only its end will tell.
struct drawn_request
{
    std::size_t kind = 0; ///< Index of its class.
    double promptTokens = 0; ///< With the prefix.
    std::uint64_t prefixHash = 0;
    double prefixTokens = 0;
    double outputTokens = 1;
    double hint = 0; ///< What its caller says of the output, up to four times off either way.
};

/// The funeral coachworks' order desk: chats, status streams, drafts of specifications, deposits and releases.
auto coachworksDeployment() -> deployment;

/// The sensor franchise: warranty reviews over a long manual, installers' chats, quick replies, orders, stock checks.
auto franchiseDeployment() -> deployment;

/// Draws a request of the class \p kind.
auto drawRequest(const deployment &where, std::size_t kind, random_source &random) -> drawn_request;

/// Draws one of the classes for which \p included says yes, by their shares.
auto drawClass(const deployment &where, random_source &random,
               const std::function<bool(const request_class &)> &included) -> std::size_t;

} // namespace marjoramloom::bench
