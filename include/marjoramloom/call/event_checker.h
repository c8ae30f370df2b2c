#pragma once

#include "marjoramloom/call/sse_reader.h"
#include "marjoramloom/core/enum_names.h"

#include <cstdint>
#include <optional>
#include <string>

namespace marjoramloom {

/// What a checked event means for the answer that it arrived in.
enum class event_verdict {
    next, ///< The next piece of the answer.
    finish, ///< The next piece, and the last one.
    done, ///< The end marker after the last piece.
    repeated, ///< Seen before: to be dropped.
    gap, ///< Events before it are missing: the stream is broken.
    crossed, ///< Belongs to another request: the stream is broken.
    malformed, ///< Unreadable: the stream is broken.
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

/// Tokens of one answer, as its engine counted them.
struct token_usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< Of the prompt tokens.
    std::uint64_t generatedTokens = 0;
};

/// An event of an engine's stream after its checks.
struct checked_event
{
    event_verdict verdict = event_verdict::malformed;
    std::string text;
    std::string finishReason;
    std::optional<token_usage> usage;
};

/// Checks that the events of a stream belong to one request and come in order, each once, whatever connections they
/// arrive on. A broken stream may go on on a new connection, from lastEventId(). Not thread safe.
class event_checker
{
public:
    /// Precondition: \p requestId is not empty.
    explicit event_checker(std::string requestId);

    /// The verdict on the event that arrived next. After gap, crossed or malformed its connection must not be read on.
    [[nodiscard]] auto check(const sse_event &event) -> checked_event;

    /// Id of the last accepted event, empty before the first.
    [[nodiscard]] auto lastEventId() const -> std::string;

    /// Events accepted so far.
    [[nodiscard]] auto accepted() const -> std::uint64_t;

    /// Whether the last piece was accepted.
    [[nodiscard]] auto finished() const -> bool;

private:
    auto readBody(const std::string &data, checked_event &result) const -> event_verdict;

    std::string m_requestId;
    std::uint64_t m_next = 0;
    bool m_finished = false;
};

} // namespace marjoramloom
