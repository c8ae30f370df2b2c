#include "marjoramloom/call/drain_tracker.h"

#include <cassert>
#include <utility>

namespace marjoramloom {

drain_tracker::work_guard::work_guard(drain_tracker &tracker)
    : m_tracker(&tracker)
{
}

drain_tracker::work_guard::work_guard(work_guard &&other) noexcept
    : m_tracker(std::exchange(other.m_tracker, nullptr))
{
}

drain_tracker::work_guard::~work_guard()
{
    if (m_tracker) {
        m_tracker->endWork();
    }
}

auto drain_tracker::beginWork() -> work_guard
{
    const auto lock = std::lock_guard(m_mutex);
    ++m_activeCount;
    return work_guard(*this);
}

auto drain_tracker::endWork() -> void
{
    auto drained = std::function<void()>();
    {
        const auto lock = std::lock_guard(m_mutex);
        assert(m_activeCount > 0);
        --m_activeCount;
        if (m_activeCount == 0) {
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
        if (m_activeCount > 0) {
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

auto drain_tracker::activeCount() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_activeCount;
}

} // namespace marjoramloom
