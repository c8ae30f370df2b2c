#pragma once

#include "marjoramloom/share/ticket.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace marjoramloom {

/// Carries signals to a running call: cancellation from its client session, suspension and move requests from the
/// ticket queue.
///
/// Created by make(). Signals may be sent from any thread; listeners are called on the call's own executor.
class call_control : public std::enable_shared_from_this<call_control>
{
public:
    using listener = std::function<void()>;

    /// Creates a control block for a call that runs on \p executor, which must be a strand.
    static auto make(boost::asio::any_io_executor executor) -> std::shared_ptr<call_control>;

    /// Cancels the call because its caller disconnected. The call ends as soon as possible. Thread safe.
    auto cancel() -> void;

    /// Requests that the call releases the grant of \p ticketId and waits for a new one. Has no effect if that ticket
    /// no longer runs. Thread safe.
    auto suspend(ticket_id ticketId) -> void;

    /// Requests that the call moves away from the server of \p ticketId, because that server is about to stop. Thread
    /// safe.
    auto move(ticket_id ticketId) -> void;

    /// Whether cancel() was called. Thread safe.
    [[nodiscard]] auto cancelled() const -> bool;

    /// Returns whether \p ticketId is to be suspended, and clears that request. Thread safe.
    [[nodiscard]] auto takeSuspension(ticket_id ticketId) -> bool;

    /// Returns whether \p ticketId is to be moved, and clears that request. Thread safe.
    [[nodiscard]] auto takeMove(ticket_id ticketId) -> bool;

    /// The call's executor. Thread safe.
    [[nodiscard]] auto executor() const -> const boost::asio::any_io_executor &;

    /// Registers \p wake, which is called after each signal until removeListener(). Returns the id for
    /// removeListener(). Call on the call's executor only.
    auto addListener(listener wake) -> std::uint64_t;

    /// Removes the listener \p listenerId. Call on the call's executor only.
    auto removeListener(std::uint64_t listenerId) -> void;

private:
    explicit call_control(boost::asio::any_io_executor executor);
    auto wakeListeners() -> void;
    auto takePending(std::optional<ticket_id> &pending, ticket_id ticketId) -> bool;

    boost::asio::any_io_executor m_executor;
    std::atomic<bool> m_cancelled = false;
    std::mutex m_mutex;
    std::optional<ticket_id> m_suspension; ///< Guarded by m_mutex.
    std::optional<ticket_id> m_move; ///< Guarded by m_mutex.
    std::map<std::uint64_t, listener> m_listeners;
    std::uint64_t m_nextListener = 1;
};

} // namespace marjoramloom
