#pragma once

#include "marjoramloom/contract/configuration.h"
#include "marjoramloom/core/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace marjoramloom {

/// A router's identity for one run of its process: a restart is another incarnation.
using incarnation_id = std::uint64_t;

/// Identity of one attempt of a request.
struct ticket_id
{
    incarnation_id router = 0;
    std::uint64_t serial = 0;

    // The check misreads defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const ticket_id &) const = default;
};

/// A place where tickets of one model wait: a service in a data centre.
struct pool_id
{
    std::string dataCentre;
    object_id service;

    // The check misreads defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const pool_id &) const = default;
};

/// A waiting request as a dispatcher sees it. The request itself stays in its router.
struct ticket
{
    ticket_id id;
    pool_id origin; ///< Pool of the router that holds the request.
    object_id account;
    object_id profile;
    work_length length = work_length::shortWork;
    double expectedCost = 0; ///< Weighted tokens.
    std::uint64_t prefixHash = 0; ///< 0 for none.
    time_point submitted;
    time_point deadline; ///< To be granted by then, else refused.
    std::uint32_t suspensions = 0; ///< How often this request already gave up its place.
    bool suspendable = false;
    std::vector<object_id> excluded; ///< Backend servers that failed this request.
};

/// Permission to send one request to one backend server.
struct grant
{
    ticket_id ticket;
    object_id account;
    object_id server;
    pool_id origin;
    pool_id pool; ///< Whose dispatcher granted it, to be told of progress and the end.
    double charged = 0; ///< Expected cost that the account was charged.
    std::string reason; ///< For the log: why this server, with the alternatives' scores.
};

/// Why a ticket was refused; it was not run.
enum class refusal_reason {
    deadline,
    queueFull,
    noServer,
    superseded,
};

template<>
struct enum_names<refusal_reason>
{
    static constexpr std::array table{
        enum_name<refusal_reason>{ refusal_reason::deadline, "deadline" },
        enum_name<refusal_reason>{ refusal_reason::queueFull, "queue_full" },
        enum_name<refusal_reason>{ refusal_reason::noServer, "no_server" },
        enum_name<refusal_reason>{ refusal_reason::superseded, "superseded" },
    };
};

struct refusal
{
    ticket_id ticket;
    object_id account;
    pool_id origin;
    refusal_reason reason = refusal_reason::deadline;
    duration retryAfter{};
};

/// Asks a router to cancel a running long request for now; it submits the rest as a new ticket.
struct suspension
{
    ticket_id ticket;
    pool_id origin;
    object_id server;
};

} // namespace marjoramloom

template<>
struct std::hash<marjoramloom::ticket_id>
{
    auto operator()(const marjoramloom::ticket_id &id) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t>()(id.router * 0x9E3779B97F4A7C15ULL + id.serial);
    }
};
