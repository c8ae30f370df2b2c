#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/peer/member.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace marjoramloom::wire {
class Envelope;
}

namespace marjoramloom {

/// Limits of the data that is buffered for one peer.
struct peer_session_settings
{
    std::size_t maxEnvelopeBytes = 64U << 10U; ///< Messages are merged into one envelope up to this size.
    std::size_t maxPendingBytes = 1U << 20U; ///< Limit of data that is not sent yet; further messages are refused.
    /// Limit of data that is sent but not acknowledged; nothing new is sent beyond it.
    std::size_t maxUnacknowledgedBytes = 1U << 20U;
    duration maxReconnectDelay = std::chrono::seconds(5); ///< Longest time between two reconnects.
};

/// Sending side of a link to one peer. Merges messages, numbers envelopes, keeps them until the peer acknowledges them,
/// and resends them on a new connection.
///
/// TCP does not detect a connection whose other end stopped answering, so the peer's acknowledgements decide whether
/// the link works. The class reads no clock. Not thread safe.
class peer_session
{
public:
    /// Precondition: \p stream is higher than that of any earlier session of this incarnation.
    peer_session(incarnation_id self, std::uint64_t stream, peer_session_settings limits, time_point now);
    ~peer_session();

    /// Sets the peer that answers at the link's address. For a different peer than before, numbering restarts under \p
    /// stream, and messages queued for the previous peer are dropped. Precondition: \p stream is higher than the
    /// current one if the peer differs.
    auto bind(incarnation_id peer, std::uint64_t stream, time_point now) -> void;
    [[nodiscard]] auto peer() const -> incarnation_id;

    /// Queues a message. Returns false, and sends nothing, where the queue is full.
    auto queue(std::unique_ptr<wire::Envelope> message) -> bool;

    /// Whether a heartbeat is queued.
    [[nodiscard]] auto hasHeartbeat() const -> bool;

    /// Whether next() has an envelope to write.
    [[nodiscard]] auto hasDataToSend() const -> bool;

    /// Returns the next envelope to write, or nothing where none is queued or the limit of unacknowledged data is
    /// reached. It acknowledges the peer's \p receivedStream up to \p receivedSequence, and requests a resend if \p
    /// resendWanted is set.
    [[nodiscard]] auto next(std::uint64_t receivedStream, std::uint64_t receivedSequence, bool resendWanted,
                            time_point now) -> std::optional<std::string>;

    /// Records that the peer received \p stream up to \p sequence.
    auto acknowledge(std::uint64_t stream, std::uint64_t sequence, time_point now) -> void;

    /// Schedules all unacknowledged envelopes to be resent, unless a resend was requested shortly before.
    auto resendUnacknowledged(time_point now) -> void;

    /// Whether the peer has not acknowledged anything since the last connect.
    [[nodiscard]] auto isUnacknowledged() const -> bool;

    /// Whether the link must reconnect because nothing was acknowledged for \p limit, doubled with each reconnect.
    [[nodiscard]] auto hasTimedOut(duration limit, time_point now) const -> bool;

    /// Must be called after the link reconnected.
    auto onReconnect(time_point now) -> void;

    /// Bytes that are queued or not acknowledged.
    [[nodiscard]] auto bufferedBytes() const -> std::size_t;

private:
    /// An envelope that was sent and is not acknowledged.
    struct sent_envelope
    {
        std::uint64_t sequence = 0;
        std::string bytes;
    };

    [[nodiscard]] auto encode(wire::Envelope &message, std::uint64_t receivedStream, std::uint64_t receivedSequence,
                              bool resendWanted) const -> std::string;
    [[nodiscard]] auto takePending() -> std::unique_ptr<wire::Envelope>;

    incarnation_id m_self;
    std::uint64_t m_stream;
    peer_session_settings m_limits;
    incarnation_id m_peer = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_acknowledged = 0;
    std::deque<std::unique_ptr<wire::Envelope>> m_pending;
    std::deque<std::size_t> m_pendingSizes;
    std::size_t m_pendingBytes = 0;
    std::deque<sent_envelope> m_sent;
    std::size_t m_sentBytes = 0;
    std::size_t m_sendPosition = 0; ///< Index of the first envelope of m_sent to write or resend.
    /// Time of the last acknowledgement or connect, or of the first send after everything was acknowledged.
    time_point m_lastProgress;
    time_point m_lastResend = time_point::min();
    std::uint32_t m_reconnectAttempts = 0; ///< Reconnects since the last acknowledgement.
    bool m_unacknowledged = true;
};

} // namespace marjoramloom
