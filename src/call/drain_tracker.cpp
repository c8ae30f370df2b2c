#include "marjoramloom/call/drain_tracker.h"

#include <cassert>
#include <utility>

namespace marjoramloom {

drain_tracker::hold::hold(drain_tracker &tracker)
    : m_tracker(&tracker)
{
}

drain_tracker::hold::hold(hold &&other) noexcept
    : m_tracker(std::exchange(other.m_tracker, nullptr))
{
}

drain_tracker::hold::~hold()
{
    if (m_tracker) {
        m_tracker->leave();
    }
}

auto drain_tracker::enter() -> hold
{
    const auto lock = std::lock_guard(m_mutex);
    ++m_held;
    return hold(*this);
}

auto drain_tracker::leave() -> void
{
    auto drained = std::function<void()>();
    {
        const auto lock = std::lock_guard(m_mutex);
        assert(m_held > 0);
        --m_held;
        if (m_held == 0) {
            drained = std::exchange(m_onDrained, nullptr);
        }
    }
    if (drained) {
        drained();
    }
}

auto drain_tracker::drain(std::function<void()> onDrained) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_draining = true;
        if (m_held > 0) {
            m_onDrained = std::move(onDrained);
            return;
        }
    }
    onDrained();
}

auto drain_tracker::draining() const -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    return m_draining;
}

auto drain_tracker::held() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_held;
}

} // namespace marjoramloom
