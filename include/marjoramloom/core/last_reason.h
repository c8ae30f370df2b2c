#pragma once

#include "marjoramloom/core/enum_names.h"

#include <string>

namespace marjoramloom {

/// Kind of a failure; decides whether a caller may retry.
enum class failure_kind {
    none,
    invalidInput, ///< The request or file itself is wrong.
    unauthorized, ///< Unknown or missing key.
    notFound,
    conflict, ///< A conditional update lost against another one.
    overloaded, ///< A limit or budget is used up.
    deadlineExceeded,
    notSent, ///< Proved: nothing reached the peer.
    unknownOutcome, ///< Bytes were sent and no clear answer came.
    protocolViolation, ///< The peer's answer is malformed or not for this request.
    unavailable, ///< The peer refused for now.
    cancelled,
    leaving, ///< The peer takes no new work.
    internal,
};

template<>
struct enum_names<failure_kind>
{
    static constexpr std::array table{
        enum_name<failure_kind>{ failure_kind::none, "none" },
        enum_name<failure_kind>{ failure_kind::invalidInput, "invalid_input" },
        enum_name<failure_kind>{ failure_kind::unauthorized, "unauthorized" },
        enum_name<failure_kind>{ failure_kind::notFound, "not_found" },
        enum_name<failure_kind>{ failure_kind::conflict, "conflict" },
        enum_name<failure_kind>{ failure_kind::overloaded, "overloaded" },
        enum_name<failure_kind>{ failure_kind::deadlineExceeded, "deadline_exceeded" },
        enum_name<failure_kind>{ failure_kind::notSent, "not_sent" },
        enum_name<failure_kind>{ failure_kind::unknownOutcome, "unknown_outcome" },
        enum_name<failure_kind>{ failure_kind::protocolViolation, "protocol_violation" },
        enum_name<failure_kind>{ failure_kind::unavailable, "unavailable" },
        enum_name<failure_kind>{ failure_kind::cancelled, "cancelled" },
        enum_name<failure_kind>{ failure_kind::leaving, "leaving" },
        enum_name<failure_kind>{ failure_kind::internal, "internal" },
    };
};

/// Why the last call returned no value: the step and the peer at which it failed.
///
/// A function that can fail returns std::optional and takes a `last_reason &` that its caller owns; it sets it
/// whenever it returns nothing. As the caller's own frame holds it, no reason is shared between threads or read after
/// another coroutine ran. Not thread safe: one caller, one reason.
struct last_reason
{
    failure_kind kind = failure_kind::none;
    std::string step; ///< What was being done, for example "connect" or "read event".
    std::string peer; ///< Address or name of the other side; empty for local steps.
    std::string detail;

    /// Sets all fields. Returns std::nullopt, so that `return why.fail(...)` reads as one step.
    auto fail(failure_kind failure, std::string_view atStep, std::string_view atPeer, std::string_view what)
        -> std::nullopt_t
    {
        kind = failure;
        step = atStep;
        peer = atPeer;
        detail = what;
        return std::nullopt;
    }

    /// One line for logs and error bodies.
    [[nodiscard]] auto text() const -> std::string
    {
        auto line = std::string(nameOf(kind)) + " at " + step;
        if (!peer.empty()) {
            line += " (" + peer + ")";
        }
        if (!detail.empty()) {
            line += ": " + detail;
        }
        return line;
    }
};

} // namespace marjoramloom
