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

/// How others reach a running call: its session when the caller left, the ticket queue when a dispatcher suspends it.
///
/// Made by make(). Signals may be given on any thread; they are handed to listeners on the call's own executor.
class call_control : public std::enable_shared_from_this<call_control>
{
public:
    using listener = std::function<void()>;

    /// A control block for a call that runs on \p executor, which is a strand.
    static auto make(boost::asio::any_io_executor executor) -> std::shared_ptr<call_control>;

    /// The caller left: the call ends as soon as it can. Thread safe.
    auto cancel() -> void;

    /// Gives up the place of \p running for now; does nothing where that ticket no longer runs. Thread safe.
    auto suspend(ticket_id running) -> void;

    /// Moves the call off the server that \p running uses, which is about to stop. Thread safe.
    auto move(ticket_id running) -> void;

    /// Whether cancel() was called. Thread safe.
    [[nodiscard]] auto cancelled() const -> bool;

    /// Whether \p running is to be suspended; the request is used up. Thread safe.
    [[nodiscard]] auto takeSuspension(ticket_id running) -> bool;

    /// Whether \p running is to be moved; the request is used up. Thread safe.
    [[nodiscard]] auto takeMove(ticket_id running) -> bool;

    /// The call's executor. Thread safe.
    [[nodiscard]] auto executor() const -> const boost::asio::any_io_executor &;

    /// Calls \p wake after each signal until forget(). Call on the call's executor only.
    auto listen(listener wake) -> std::uint64_t;

    /// Ends listen(). Call on the call's executor only.
    auto forget(std::uint64_t listening) -> void;

private:
    explicit call_control(boost::asio::any_io_executor executor);
    auto wakeListeners() -> void;
    auto take(std::optional<ticket_id> &wanted, ticket_id running) -> bool;

    boost::asio::any_io_executor m_executor;
    std::atomic<bool> m_cancelled = false;
    std::mutex m_mutex;
    std::optional<ticket_id> m_suspension; ///< Guarded by m_mutex.
    std::optional<ticket_id> m_move; ///< Guarded by m_mutex.
    std::map<std::uint64_t, listener> m_listeners;
    std::uint64_t m_nextListener = 1;
};

} // namespace marjoramloom
