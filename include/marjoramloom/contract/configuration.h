#pragma once

#include "marjoramloom/contract/object_id.h"
#include "marjoramloom/core/enum_names.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoramloom {

/// A customer; the fleet's capacity is shared among the requests of all client accounts.
struct client_account
{
    object_id id;
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each bearer key, lower-case hexadecimal.
    double weight = 1.0; ///< Share of the capacity relative to other accounts.
    std::uint32_t queueLimit = 256; ///< Maximum number of waiting requests per router.
};

/// Whether requests of a profile are expected to be short or long.
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

/// Scheduling and retry parameters of a class of requests.
struct profile
{
    object_id id;
    std::string name;
    work_length length = work_length::shortWork;
    std::chrono::milliseconds maxWait{ 30'000 }; ///< A request that would wait longer is rejected.
    std::chrono::milliseconds timeout{ 600'000 }; ///< For the whole request, from its arrival.
    double expectedTokens = 200; ///< Estimated cost of a request until costs have been observed.
    bool hedge = false; ///< Whether a second attempt may start on another server if the first token is late.
    std::uint32_t retries = 2; ///< Maximum number of further attempts after a failed one.
    bool suspendable = false; ///< Whether a request may be suspended for waiting short requests and resumed later.
    std::uint32_t maxSuspensions = 3; ///< Per request.
};

/// Kind of backend server that runs a service.
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

/// A target of requests: a model, or a plain HTTP service.
struct service
{
    object_id id;
    std::string name; ///< For models also the value of `model` in a completions request.
    service_kind kind = service_kind::model;
    std::string profile;
    bool repeatable = true; ///< If false, a call needs an Idempotency-Key and is executed at most once.
    double callCost = 1.0; ///< Cost charged for one call of a plain service, in weighted tokens.
};

/// A server that executes requests: a model engine or a plain HTTP server.
struct backend_server
{
    object_id id;
    std::string name;
    std::string service;
    std::string dataCentre;
    std::string address; ///< IP:port.
    std::uint32_t slots = 8; ///< Maximum number of concurrent requests.
    bool checksFencing = false; ///< Whether the server rejects orders with an outdated fencing number.
};

/// A maintenance window during which a backend server gets no new requests.
struct planned_stop
{
    object_id id;
    std::string name;
    std::string backendServer;
    std::int64_t atUnixMs = 0;
    std::int64_t untilUnixMs = 0;
};

/// The complete configuration after a number of accepted changes. Immutable once published.
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
