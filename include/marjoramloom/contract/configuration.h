#pragma once

#include "marjoramloom/contract/object_id.h"
#include "marjoramloom/core/enum_names.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoramloom {

/// A customer whose requests share the fleet's capacity.
struct client_account
{
    object_id id;
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each bearer key, lower-case hexadecimal.
    double weight = 1.0; ///< Share relative to other accounts.
    std::uint32_t queueLimit = 256; ///< Waiting requests per router.
};

/// Whether work of a profile is expected to be short or long.
enum class work_length {
    shortWork,
    longWork,
};

template<>
struct enum_names<work_length>
{
    static constexpr std::array table{
        enum_name<work_length>{ work_length::shortWork, "short" },
        enum_name<work_length>{ work_length::longWork, "long" },
    };
};

/// How a class of work is treated.
struct profile
{
    object_id id;
    std::string name;
    work_length length = work_length::shortWork;
    std::chrono::milliseconds maxWait{ 30'000 }; ///< A request that would wait longer is refused.
    std::chrono::milliseconds timeout{ 600'000 }; ///< Whole request, from its arrival.
    double expectedTokens = 200; ///< First estimate of a request's cost, before any was observed.
    bool hedge = false; ///< A slow first token may be asked for a second time elsewhere.
    std::uint32_t retries = 2; ///< Further attempts after one that failed.
    bool suspendable = false; ///< May give its place to waiting short work and resume later.
    std::uint32_t maxSuspensions = 3; ///< Per request.
};

/// What kind of backend server carries out a service.
enum class service_kind {
    model,
    plain,
};

template<>
struct enum_names<service_kind>
{
    static constexpr std::array table{
        enum_name<service_kind>{ service_kind::model, "model" },
        enum_name<service_kind>{ service_kind::plain, "plain" },
    };
};

/// Something callers can ask for: a model, or a plain service.
struct service
{
    object_id id;
    std::string name; ///< For models also the `model` of a completions request.
    service_kind kind = service_kind::model;
    std::string profile;
    bool repeatable = true; ///< False: a call needs an Idempotency-Key and runs at most once.
    double callCost = 1.0; ///< Charge of one plain call, in weighted tokens.
};

/// A model engine or plain server that carries out requests.
struct backend_server
{
    object_id id;
    std::string name;
    std::string service;
    std::string dataCentre;
    std::string address; ///< IP:port.
    std::uint32_t slots = 8; ///< Requests at once.
    bool checksFencing = false; ///< Refuses orders with an old fencing number.
};

/// A window in which a backend server gets no new work.
struct planned_stop
{
    object_id id;
    std::string name;
    std::string backendServer;
    std::int64_t atUnixMs = 0;
    std::int64_t untilUnixMs = 0;
};

/// The whole accepted configuration. Immutable once published.
struct configuration
{
    std::uint64_t sequence = 0; ///< Number of changes accepted so far; 0 before the first.
    std::map<std::string, client_account> clientAccounts;
    std::map<std::string, profile> profiles;
    std::map<std::string, service> services;
    std::map<std::string, backend_server> backendServers;
    std::map<std::string, planned_stop> plannedStops;
};

} // namespace marjoramloom
