#include "marjoramloom/call/call_control.h"

#include <boost/asio/post.hpp>

namespace marjoramloom {

auto call_control::make(boost::asio::any_io_executor executor) -> std::shared_ptr<call_control>
{
    return std::shared_ptr<call_control>(new call_control(std::move(executor)));
}

call_control::call_control(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

auto call_control::cancel() -> void
{
    m_cancelled = true;
    wakeListeners();
}

auto call_control::suspend(ticket_id ticketId) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_suspension = ticketId;
    }
    wakeListeners();
}

auto call_control::move(ticket_id ticketId) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_move = ticketId;
    }
    wakeListeners();
}

auto call_control::cancelled() const -> bool
{
    return m_cancelled;
}

auto call_control::takeSuspension(ticket_id ticketId) -> bool
{
    return takePending(m_suspension, ticketId);
}

auto call_control::takeMove(ticket_id ticketId) -> bool
{
    return takePending(m_move, ticketId);
}

auto call_control::takePending(std::optional<ticket_id> &pending, ticket_id ticketId) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    const auto matches = pending == ticketId;
    if (matches) {
        pending.reset();
    }
    return matches;
}

auto call_control::executor() const -> const boost::asio::any_io_executor &
{
    return m_executor;
}

auto call_control::addListener(listener wake) -> std::uint64_t
{
    m_listeners.emplace(m_nextListener, std::move(wake));
    return m_nextListener++;
}

auto call_control::removeListener(std::uint64_t listenerId) -> void
{
    m_listeners.erase(listenerId);
}

auto call_control::wakeListeners() -> void
{
    boost::asio::post(m_executor, [self = shared_from_this()] {
        // A listener may remove itself or others, so the loop runs over a copy.
        const auto listeners = self->m_listeners;
        for (const auto &[id, wake] : listeners) {
            if (self->m_listeners.contains(id)) {
                wake();
            }
        }
    });
}

} // namespace marjoramloom
