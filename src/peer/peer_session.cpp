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
    , m_lastProgress(now)
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
    m_sendPosition = 0;
    m_lastProgress = now;
    m_reconnectAttempts = 0;
    m_unacknowledged = true;
}

auto peer_session::peer() const -> incarnation_id
{
    return m_peer;
}

auto peer_session::queue(std::unique_ptr<wire::Envelope> message) -> bool
{
    const auto size = message->ByteSizeLong();
    if (m_pendingBytes + size > m_limits.maxPendingBytes) {
        return false;
    }
    m_pendingBytes += size;
    if (!m_pending.empty() && m_pendingSizes.back() + size <= m_limits.maxEnvelopeBytes) {
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

auto peer_session::hasDataToSend() const -> bool
{
    return m_sendPosition < m_sent.size() || (!m_pending.empty() && m_sentBytes < m_limits.maxUnacknowledgedBytes);
}

auto peer_session::takePending() -> std::unique_ptr<wire::Envelope>
{
    auto message = std::move(m_pending.front());
    m_pendingBytes -= m_pendingSizes.front();
    m_pending.pop_front();
    m_pendingSizes.pop_front();
    return message;
}

auto peer_session::encode(wire::Envelope &message, std::uint64_t receivedStream, std::uint64_t receivedSequence,
                          bool resendWanted) const -> std::string
{
    message.set_version(wireVersion);
    message.set_sender(m_self);
    message.set_receiver(m_peer);
    message.set_stream(m_stream);
    message.set_sequence(m_sequence);
    message.set_heard_stream(receivedStream);
    message.set_heard(receivedSequence);
    message.set_resend_wanted(resendWanted);
    return message.SerializeAsString();
}

auto peer_session::next(std::uint64_t receivedStream, std::uint64_t receivedSequence, bool resendWanted, time_point now)
    -> std::optional<std::string>
{
    if (m_sendPosition < m_sent.size()) {
        return m_sent[m_sendPosition++].bytes;
    }
    if (!hasDataToSend()) {
        return std::nullopt;
    }
    auto message = takePending();
    if (m_peer == 0) {
        // Without a sequence number, as there is no known peer that could acknowledge it.
        return encode(*message, receivedStream, receivedSequence, resendWanted);
    }
    if (m_sent.empty()) {
        m_lastProgress = now;
    }
    ++m_sequence;
    m_sent.push_back({ m_sequence, encode(*message, receivedStream, receivedSequence, resendWanted) });
    m_sentBytes += m_sent.back().bytes.size();
    ++m_sendPosition;
    return m_sent.back().bytes;
}

auto peer_session::acknowledge(std::uint64_t stream, std::uint64_t sequence, time_point now) -> void
{
    if (stream != m_stream || sequence <= m_acknowledged || sequence > m_sequence) {
        return;
    }
    m_acknowledged = sequence;
    m_lastProgress = now;
    m_reconnectAttempts = 0;
    m_unacknowledged = false;
    while (!m_sent.empty() && m_sent.front().sequence <= sequence) {
        m_sentBytes -= m_sent.front().bytes.size();
        m_sent.pop_front();
        m_sendPosition -= m_sendPosition > 0 ? 1 : 0;
    }
}

auto peer_session::resendUnacknowledged(time_point now) -> void
{
    constexpr auto minResendInterval = std::chrono::milliseconds(100);
    if (m_lastResend == time_point::min() || now - m_lastResend >= minResendInterval) {
        m_lastResend = now;
        m_sendPosition = 0;
    }
}

auto peer_session::isUnacknowledged() const -> bool
{
    return m_unacknowledged;
}

auto peer_session::hasTimedOut(duration limit, time_point now) const -> bool
{
    constexpr auto maxDoublings = 8U;
    const auto isAwaitingAnswer = m_peer == 0 || !m_sent.empty();
    const auto timeout = std::min(limit * (1U << std::min(m_reconnectAttempts, maxDoublings)),
                                  std::max(limit, m_limits.maxReconnectDelay));
    return isAwaitingAnswer && now - m_lastProgress > timeout;
}

auto peer_session::onReconnect(time_point now) -> void
{
    m_sendPosition = 0;
    m_lastProgress = now;
    ++m_reconnectAttempts;
    m_unacknowledged = true;
}

auto peer_session::bufferedBytes() const -> std::size_t
{
    return m_pendingBytes + m_sentBytes;
}

} // namespace marjoramloom
