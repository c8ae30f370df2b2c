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

/// Bounds of what waits for one peer.
struct peer_session_settings
{
    std::size_t envelopeBytes = 64U << 10U; ///< Messages are merged into one envelope up to this size.
    std::size_t pendingBytes = 1U << 20U; ///< Not yet sent; more is refused.
    std::size_t windowBytes = 1U << 20U; ///< Sent and not acknowledged; beyond it nothing is sent.
    duration redialLimit = std::chrono::seconds(5); ///< Longest pause between two attempts to dial.
};

/// The sending side of a link to one peer: merges messages, numbers envelopes, keeps them until the peer says that it
/// heard them, and sends them again on a new connection.
///
/// As TCP does not notice a connection that went silent for good, the peer's acknowledgements decide whether the link
/// works. Pure state, no clock of its own. Not thread safe.
class peer_session
{
public:
    /// Precondition: \p stream is higher than that of any earlier session of this incarnation.
    peer_session(incarnation_id self, std::uint64_t stream, peer_session_settings limits, time_point now);
    ~peer_session();

    /// The peer that answers at the link's address. Another one than before gets a fresh stream \p stream, and what
    /// waited for the previous one is dropped.
    auto bind(incarnation_id peer, std::uint64_t stream, time_point now) -> void;
    [[nodiscard]] auto peer() const -> incarnation_id;

    /// Queues a message. False where the queue is full: nothing of it will be sent.
    auto queue(std::unique_ptr<wire::Envelope> message) -> bool;

    /// Whether a heartbeat waits to be sent.
    [[nodiscard]] auto hasHeartbeat() const -> bool;

    /// Whether next() has something to write.
    [[nodiscard]] auto hasWork() const -> bool;

    /// The next envelope to write, with \p heard of the peer's \p heardStream; nothing where none waits or the window
    /// is full.
    [[nodiscard]] auto next(std::uint64_t heardStream, std::uint64_t heard, bool resendWanted, time_point now)
        -> std::optional<std::string>;

    /// The peer heard everything of \p stream up to \p sequence.
    auto acknowledge(std::uint64_t stream, std::uint64_t sequence, time_point now) -> void;

    /// Sends everything that is not acknowledged once more, unless it was asked to a moment ago.
    auto rewind(time_point now) -> void;

    /// Whether the peer never acknowledged anything since the link was dialled.
    [[nodiscard]] auto isUnproved() const -> bool;

    /// Whether the link is to be dialled again, as nothing was acknowledged for \p limit, doubled with each dial.
    [[nodiscard]] auto isSilent(duration limit, time_point now) const -> bool;

    /// The link was dialled again.
    auto redialled(time_point now) -> void;

    /// Bytes waiting or not acknowledged.
    [[nodiscard]] auto bytes() const -> std::size_t;

private:
    struct sent_envelope
    {
        std::uint64_t sequence = 0;
        std::string bytes;
    };

    [[nodiscard]] auto encode(wire::Envelope &message, std::uint64_t heardStream, std::uint64_t heard,
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
    std::size_t m_cursor = 0; ///< First of m_sent to be written (again).
    time_point m_progress; ///< Last acknowledgement, or when there was nothing to acknowledge, or the last dial.
    time_point m_rewound = time_point::min();
    std::uint32_t m_dials = 0; ///< Since the last acknowledgement.
    bool m_unproved = true;
};

} // namespace marjoramloom
