#pragma once

#include "marjoramloom/call/sse_reader.h"
#include "marjoramloom/core/enum_names.h"

#include <cstdint>
#include <optional>
#include <string>

namespace marjoramloom {

/// Result of checking one event of a stream.
enum class event_verdict {
    next, ///< The next piece of the answer.
    finish, ///< The last piece of the answer.
    done, ///< The end marker after the last piece.
    repeated, ///< A duplicate of an earlier event, to be dropped.
    gap, ///< Earlier events are missing; the connection must be closed.
    crossed, ///< The event belongs to another request; the connection must be closed.
    malformed, ///< The event cannot be parsed or is not valid here; the connection must be closed.
};

template<>
struct enum_names<event_verdict>
{
    static constexpr std::array table{
        enum_name<event_verdict>{ event_verdict::next, "next" },
        enum_name<event_verdict>{ event_verdict::finish, "finish" },
        enum_name<event_verdict>{ event_verdict::done, "done" },
        enum_name<event_verdict>{ event_verdict::repeated, "repeated" },
        enum_name<event_verdict>{ event_verdict::gap, "gap" },
        enum_name<event_verdict>{ event_verdict::crossed, "crossed" },
        enum_name<event_verdict>{ event_verdict::malformed, "malformed" },
    };
};

/// Token counts of one answer, as reported by the engine.
struct token_usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< Prompt tokens that were read from the prefix cache.
    std::uint64_t generatedTokens = 0;
};

/// Verdict on an event of an engine's stream, with its parsed content.
struct checked_event
{
    event_verdict verdict = event_verdict::malformed;
    std::string text;
    std::string finishReason;
    std::optional<token_usage> usage;
};

/// Checks that the events of a stream belong to one request and arrive in order without duplicates, across all
/// connections used for the stream. A broken stream may be resumed on a new connection after lastEventId(). Not thread
/// safe.
class event_checker
{
public:
    /// Precondition: \p requestId is not empty.
    explicit event_checker(std::string requestId);

    /// Checks the next event to arrive. After gap, crossed or malformed, nothing more may be read from its connection.
    [[nodiscard]] auto check(const sse_event &event) -> checked_event;

    /// Id of the last accepted event; empty before the first.
    [[nodiscard]] auto lastEventId() const -> std::string;

    /// Number of events accepted so far.
    [[nodiscard]] auto accepted() const -> std::uint64_t;

    /// Whether the last piece was accepted.
    [[nodiscard]] auto finished() const -> bool;

private:
    auto parseBody(const std::string &data, checked_event &result) const -> event_verdict;

    std::string m_requestId;
    std::uint64_t m_nextSequence = 0;
    bool m_finished = false;
};

} // namespace marjoramloom
