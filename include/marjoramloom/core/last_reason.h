#pragma once

#include "marjoramloom/core/enum_names.h"

#include <string>

namespace marjoramloom {

/// Kind of a failure. Callers decide by it whether they may retry.
enum class failure_kind {
    none,
    invalidInput, ///< The request or file itself is wrong.
    unauthorized, ///< Unknown or missing key.
    notFound,
    conflict, ///< Another conditional update was written first.
    overloaded, ///< A limit or budget is used up.
    deadlineExceeded,
    notSent, ///< It is certain that nothing reached the peer.
    unknownOutcome, ///< Bytes were sent, but no answer says what the peer did.
    protocolViolation, ///< The peer's answer is malformed or belongs to another request.
    unavailable, ///< The peer refused, but may accept a later request.
    cancelled,
    leaving, ///< The peer is shutting down and accepts no new requests.
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

/// Why the last call returned no value: the kind of failure, and the step and the peer at which it failed.
///
/// A function that can fail returns std::optional and takes a `last_reason &` that its caller owns; the function sets
/// it whenever it returns nothing. As the object belongs to the caller, no other thread or coroutine can overwrite it
/// before it is read. Not thread safe: each caller has its own.
struct last_reason
{
    failure_kind kind = failure_kind::none;
    std::string step; ///< The operation that failed, for example "connect" or "read event".
    std::string peer; ///< Address or name of the other side; empty for local steps.
    std::string detail;

    /// Sets all fields. Returns std::nullopt, so that a function can `return why.fail(...)`.
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
