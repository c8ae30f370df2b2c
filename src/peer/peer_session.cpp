#include "marjoramloom/peer/peer_session.h"

#include "marjoramloom/peer/wire_version.h"
#include "peer.pb.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

peer_session::peer_session(incarnation_id self, std::uint64_t stream, peer_session_settings limits, time_point now)
    : m_self(self)
    , m_stream(stream)
    , m_limits(limits)
    , m_progress(now)
{
}

peer_session::~peer_session() = default;

auto peer_session::bind(incarnation_id peer, std::uint64_t stream, time_point now) -> void
{
    if (m_peer == peer) {
        return;
    }
    assert(stream > m_stream);
    m_peer = peer;
    m_stream = stream;
    m_sequence = 0;
    m_acknowledged = 0;
    m_pending.clear();
    m_pendingSizes.clear();
    m_pendingBytes = 0;
    m_sent.clear();
    m_sentBytes = 0;
    m_cursor = 0;
    m_progress = now;
    m_dials = 0;
    m_unproved = true;
}

auto peer_session::peer() const -> incarnation_id
{
    return m_peer;
}

auto peer_session::queue(std::unique_ptr<wire::Envelope> message) -> bool
{
    const auto size = message->ByteSizeLong();
    if (m_pendingBytes + size > m_limits.pendingBytes) {
        return false;
    }
    m_pendingBytes += size;
    if (!m_pending.empty() && m_pendingSizes.back() + size <= m_limits.envelopeBytes) {
        m_pending.back()->MergeFrom(*message);
        m_pendingSizes.back() += size;
        return true;
    }
    m_pending.push_back(std::move(message));
    m_pendingSizes.push_back(size);
    return true;
}

auto peer_session::hasHeartbeat() const -> bool
{
    return std::any_of(m_pending.begin(), m_pending.end(),
                       [](const auto &pending) { return pending->has_heartbeat(); });
}

auto peer_session::hasWork() const -> bool
{
    return m_cursor < m_sent.size() || (!m_pending.empty() && m_sentBytes < m_limits.windowBytes);
}

auto peer_session::takePending() -> std::unique_ptr<wire::Envelope>
{
    auto message = std::move(m_pending.front());
    m_pendingBytes -= m_pendingSizes.front();
    m_pending.pop_front();
    m_pendingSizes.pop_front();
    return message;
}

auto peer_session::encode(wire::Envelope &message, std::uint64_t heardStream, std::uint64_t heard,
                          bool resendWanted) const -> std::string
{
    message.set_version(wireVersion);
    message.set_sender(m_self);
    message.set_receiver(m_peer);
    message.set_stream(m_stream);
    message.set_sequence(m_sequence);
    message.set_heard_stream(heardStream);
    message.set_heard(heard);
    message.set_resend_wanted(resendWanted);
    return message.SerializeAsString();
}

auto peer_session::next(std::uint64_t heardStream, std::uint64_t heard, bool resendWanted, time_point now)
    -> std::optional<std::string>
{
    if (m_cursor < m_sent.size()) {
        return m_sent[m_cursor++].bytes;
    }
    if (!hasWork()) {
        return std::nullopt;
    }
    auto message = takePending();
    if (m_peer == 0) {
        return encode(*message, heardStream, heard, resendWanted); // Not numbered: nobody can acknowledge it yet.
    }
    if (m_sent.empty()) {
        m_progress = now;
    }
    ++m_sequence;
    m_sent.push_back({ m_sequence, encode(*message, heardStream, heard, resendWanted) });
    m_sentBytes += m_sent.back().bytes.size();
    ++m_cursor;
    return m_sent.back().bytes;
}

auto peer_session::acknowledge(std::uint64_t stream, std::uint64_t sequence, time_point now) -> void
{
    if (stream != m_stream || sequence <= m_acknowledged || sequence > m_sequence) {
        return;
    }
    m_acknowledged = sequence;
    m_progress = now;
    m_dials = 0;
    m_unproved = false;
    while (!m_sent.empty() && m_sent.front().sequence <= sequence) {
        m_sentBytes -= m_sent.front().bytes.size();
        m_sent.pop_front();
        m_cursor -= m_cursor > 0 ? 1 : 0;
    }
}

auto peer_session::rewind(time_point now) -> void
{
    constexpr auto shortestPause = std::chrono::milliseconds(100);
    if (m_rewound == time_point::min() || now - m_rewound >= shortestPause) {
        m_rewound = now;
        m_cursor = 0;
    }
}

auto peer_session::isUnproved() const -> bool
{
    return m_unproved;
}

auto peer_session::isSilent(duration limit, time_point now) const -> bool
{
    constexpr auto mostDoublings = 8U;
    const auto waits = m_peer == 0 || !m_sent.empty();
    const auto pause =
        std::min(limit * (1U << std::min(m_dials, mostDoublings)), std::max(limit, m_limits.redialLimit));
    return waits && now - m_progress > pause;
}

auto peer_session::redialled(time_point now) -> void
{
    m_cursor = 0;
    m_progress = now;
    ++m_dials;
    m_unproved = true;
}

auto peer_session::bytes() const -> std::size_t
{
    return m_pendingBytes + m_sentBytes;
}

} // namespace marjoramloom
