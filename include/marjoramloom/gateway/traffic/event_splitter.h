#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramloom {

/// One complete event of an event stream, with its bytes unchanged.
struct stream_event
{
    std::string bytes; ///< Includes the empty line that ends the event.
    std::optional<std::int64_t> id; ///< Number in the "id:" field; empty where the field is absent or no number.
};

/// Splits the bytes of an event stream (text/event-stream) into complete events.
///
/// Only complete events are forwarded, so a stream that breaks off within an event can be resumed at another backend
/// server. Not thread safe.
class event_splitter
{
public:
    /// Appends \p bytes and returns the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<stream_event>;

    /// Whether an event is longer than MAX_EVENT_BYTES; the stream cannot be continued then.
    [[nodiscard]] auto isEventTooLong() const -> bool;

    /// Whether bytes of an incomplete event are buffered.
    [[nodiscard]] auto hasPartialEvent() const -> bool;

private:
    /// Size limit of one event.
    static constexpr std::size_t MAX_EVENT_BYTES = 256 * 1024;

    std::string m_pending; ///< Bytes of the incomplete event.
};

} // namespace marjoramloom
