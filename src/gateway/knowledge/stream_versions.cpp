#include "marjoramloom/gateway/knowledge/stream_versions.h"

#include "marjoramloom/core/hash.h"

namespace marjoramloom {

auto stream_versions::streamId(std::string_view request) -> std::uint64_t
{
    return hash64(request);
}

auto stream_versions::note(const stream_version &begun, bool isOwn, time_point now) -> void
{
    if (begun.version == 0 || (m_streams.size() >= MAX_STREAMS && !m_streams.contains(begun.stream))) {
        return;
    }
    auto &known = m_streams[begun.stream];
    known = { .version = begun.version, .notedAt = now, .isOwn = isOwn || known.isOwn };
}

auto stream_versions::find(std::uint64_t stream) const -> std::optional<std::uint64_t>
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? std::nullopt : std::optional(found->second.version);
}

auto stream_versions::own() const -> std::vector<stream_version>
{
    auto streams = std::vector<stream_version>();
    for (const auto &[stream, known] : m_streams) {
        if (known.isOwn) {
            streams.push_back({ .stream = stream, .version = known.version });
        }
    }
    return streams;
}

auto stream_versions::expire(duration horizon, time_point now) -> void
{
    std::erase_if(m_streams, [&](const auto &entry) { return now - entry.second.notedAt > horizon; });
}

auto stream_versions::size() const -> std::size_t
{
    return m_streams.size();
}

} // namespace marjoramloom
