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

auto call_control::suspend(ticket_id running) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_suspension = running;
    }
    wakeListeners();
}

auto call_control::move(ticket_id running) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_move = running;
    }
    wakeListeners();
}

auto call_control::cancelled() const -> bool
{
    return m_cancelled;
}

auto call_control::takeSuspension(ticket_id running) -> bool
{
    return take(m_suspension, running);
}

auto call_control::takeMove(ticket_id running) -> bool
{
    return take(m_move, running);
}

auto call_control::take(std::optional<ticket_id> &wanted, ticket_id running) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    const auto meant = wanted == running;
    if (meant) {
        wanted.reset();
    }
    return meant;
}

auto call_control::executor() const -> const boost::asio::any_io_executor &
{
    return m_executor;
}

auto call_control::listen(listener wake) -> std::uint64_t
{
    m_listeners.emplace(m_nextListener, std::move(wake));
    return m_nextListener++;
}

auto call_control::forget(std::uint64_t listening) -> void
{
    m_listeners.erase(listening);
}

auto call_control::wakeListeners() -> void
{
    boost::asio::post(m_executor, [self = shared_from_this()] {
        // A listener may forget itself or others, so the map is copied first.
        const auto listeners = self->m_listeners;
        for (const auto &[id, wake] : listeners) {
            if (self->m_listeners.contains(id)) {
                wake();
            }
        }
    });
}

} // namespace marjoramloom
