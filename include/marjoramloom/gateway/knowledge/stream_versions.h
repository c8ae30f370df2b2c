#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// A stream and the software version that began it.
struct stream_version
{
    std::uint64_t stream = 0; ///< From stream_versions::streamId().
    std::uint64_t version = 0; ///< From softwareVersionId(); 0 if it is not known.
};

/// Software versions of the servers that began recent streams, of this router and of others that reported them here.
/// Not thread safe.
class stream_versions
{
public:
    /// Beyond this number of streams, further ones are not remembered: their take-ups are refused.
    static constexpr std::size_t MAX_STREAMS = 65'536;

    /// Id of the stream whose first event the request \p request brought: a hash, equal on every router.
    [[nodiscard]] static auto streamId(std::string_view request) -> std::uint64_t;

    /// Remembers \p begun. \p isOwn tells whether this router sent its events to the caller.
    auto note(const stream_version &begun, bool isOwn, time_point now) -> void;

    [[nodiscard]] auto find(std::uint64_t stream) const -> std::optional<std::uint64_t>;

    /// The streams whose events this router sent.
    [[nodiscard]] auto own() const -> std::vector<stream_version>;

    /// Forgets streams that were noted more than \p horizon ago.
    auto expire(duration horizon, time_point now) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        std::uint64_t version = 0;
        time_point notedAt{};
        bool isOwn = false;
    };

    std::unordered_map<std::uint64_t, entry> m_streams; ///< By stream id.
};

} // namespace marjoramloom
