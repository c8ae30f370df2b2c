#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjoramloom {

/// One server-sent event.
struct sse_event
{
    std::string id;
    std::string data;
};

/// Incremental parser of a text/event-stream. Not thread safe.
class sse_reader
{
public:
    /// Parses \p bytes and returns the events that they complete. A truncated event is never returned.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<sse_event>;

    /// Whether an event or line exceeded the size limit; feed() then ignores further bytes.
    [[nodiscard]] auto overflowed() const -> bool;

private:
    auto takeLine(std::string_view line, std::vector<sse_event> &complete) -> void;

    static constexpr std::size_t EVENT_LIMIT_BYTES = 1U << 20U;

    std::string m_partialLine;
    sse_event m_event;
    bool m_hasData = false;
    bool m_overflowed = false;
};

} // namespace marjoramloom
