#include "marjoramloom/call/step_limit.h"

namespace marjoramloom {

step_limit::step_limit(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry)
    : m_timer(executor)
    , m_onExpiry(std::move(onExpiry))
{
}

auto step_limit::arm(duration limit) -> void
{
    m_expired = false;
    m_limitAt = std::chrono::steady_clock::now() + limit;
    // A timer that fires earlier looks at the limit again.
    if (!m_watching || m_timer.expiry() > m_limitAt) {
        watch();
    }
}

auto step_limit::disarm() -> void
{
    m_limitAt = time_point::max();
}

auto step_limit::detach() -> void
{
    disarm();
    m_onExpiry = nullptr;
    m_timer.cancel();
}

auto step_limit::expired() const -> bool
{
    return m_expired;
}

auto step_limit::watch() -> void
{
    m_watching = true;
    m_timer.expires_at(m_limitAt);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onTimer();
        }
    });
}

auto step_limit::onTimer() -> void
{
    m_watching = false;
    if (m_limitAt == time_point::max()) {
        return;
    }
    if (std::chrono::steady_clock::now() < m_limitAt) {
        watch();
        return;
    }
    m_expired = true;
    if (m_onExpiry) {
        m_onExpiry();
    }
}

} // namespace marjoramloom
