#include "marjoramloom/call/operation_timeout.h"

namespace marjoramloom {

operation_timeout::operation_timeout(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry)
    : m_timer(executor)
    , m_onExpiry(std::move(onExpiry))
{
}

auto operation_timeout::arm(duration limit) -> void
{
    m_expired = false;
    m_deadline = std::chrono::steady_clock::now() + limit;
    // A pending timer that expires earlier is restarted by onTimer().
    if (!m_timerPending || m_timer.expiry() > m_deadline) {
        startTimer();
    }
}

auto operation_timeout::disarm() -> void
{
    m_deadline = time_point::max();
}

auto operation_timeout::detach() -> void
{
    disarm();
    m_onExpiry = nullptr;
    m_timer.cancel();
}

auto operation_timeout::expired() const -> bool
{
    return m_expired;
}

auto operation_timeout::startTimer() -> void
{
    m_timerPending = true;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

auto operation_timeout::onTimer() -> void
{
    m_timerPending = false;
    if (m_deadline == time_point::max()) {
        return;
    }
    if (std::chrono::steady_clock::now() < m_deadline) {
        startTimer();
        return;
    }
    m_expired = true;
    if (m_onExpiry) {
        m_onExpiry();
    }
}

} // namespace marjoramloom
