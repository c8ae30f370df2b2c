#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramloom {

/// One whole event of a stream, byte for byte.
struct stream_event
{
    std::string bytes; ///< With the empty line that ends it.
    std::optional<std::int64_t> id;
};

/// Cuts the bytes of an event stream between its events, so that a stream that breaks off in the middle of an event can
/// go on elsewhere. Not thread safe.
class event_splitter
{
public:
    /// Adds \p bytes and returns the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<stream_event>;

    /// Whether bytes are left that end no event.
    [[nodiscard]] auto hasPartialEvent() const -> bool;

private:
    std::string m_pending;
};

} // namespace marjoramloom
