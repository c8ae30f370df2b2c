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

/// Identity of one ticket; each ticket of a request has its own.
struct ticket_id
{
    incarnation_id router = 0;
    std::uint64_t serial = 0;

    // clang-tidy reports a false positive on defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const ticket_id &) const = default;
};

/// Identity of a pool: the backend servers and the waiting tickets of one service in a data centre.
struct pool_id
{
    std::string dataCentre;
    object_id service;

    // clang-tidy reports a false positive on defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const pool_id &) const = default;
};

/// A request that waits for a backend server, as a dispatcher sees it. The request itself stays in its router.
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
    time_point deadline; ///< The ticket is refused unless it is granted by then.
    std::uint32_t suspensions = 0; ///< Number of times this request was suspended.
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
    pool_id pool; ///< Pool whose dispatcher granted it; the router reports progress and the end to that dispatcher.
    double charged = 0; ///< Expected cost that the account was charged.
    std::string reason; ///< Scores of the server and of the second best, for the log.
};

/// Reason for refusing a ticket. A refused request was not run.
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

/// Tells a router that a ticket is not granted, and when the caller may retry.
struct refusal
{
    ticket_id ticket;
    object_id account;
    pool_id origin;
    refusal_reason reason = refusal_reason::deadline;
    duration retryAfter{};
};

/// Asks a router to cancel a running long request; the router submits the remaining work as a new ticket.
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
