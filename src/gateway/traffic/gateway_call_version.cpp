// The software version at which a stream goes on.
#include "marjoramloom/gateway/traffic/gateway_call.h"

#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;

/// Whether the caller has got events of the stream in an answer to an earlier request.
auto gateway_call::isTakeUp() const -> bool
{
    return m_route.kind == route_kind::eventStream && m_route.resumable && m_request.lastEventId;
}

/// Finds the version that began the stream which the caller takes up. Returns false if it is not known.
auto gateway_call::findStreamVersion() -> asio::awaitable<bool>
{
    const auto &resumed = m_request.resumedRequest;
    const auto stream = resumed.empty() ? std::uint64_t(0) : stream_versions::streamId(resumed);
    const auto version = co_await m_streams.find(m_service->name, stream);
    m_streamVersion = version.value_or(0);
    co_return version.has_value();
}

/// Records that the caller is about to get an event of the stream from \p server.
auto gateway_call::noteStreamBegun(const listed_server &server) -> void
{
    if (m_route.kind != route_kind::eventStream || !m_route.resumable) {
        return;
    }
    const auto isFirstEvent = m_streamVersion == 0;
    m_streamVersion = isFirstEvent ? softwareVersionId(server.softwareVersion) : m_streamVersion;
    const auto &resumed = m_request.resumedRequest;
    const auto &first = isTakeUp() && !resumed.empty() ? resumed : m_request.id;
    if (isFirstEvent || isTakeUp()) {
        m_streams.noteBegun(m_service->name,
                            { .stream = stream_versions::streamId(first), .version = m_streamVersion });
    }
}

/// Whether the request may be refused for its expected wait. It may not once it was sent, nor if it goes on with a
/// stream at one of several versions, as it has fewer servers than new requests.
auto gateway_call::mayStillRefuse() const -> bool
{
    const auto isLimited =
        m_streamVersion != 0 && m_state.servedVersions.isMixed(m_service->name, system_clock_source().now());
    return m_sendCount == 0 && !isLimited;
}

} // namespace marjoramloom
