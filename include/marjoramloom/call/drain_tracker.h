#pragma once

#include <cstddef>
#include <functional>
#include <mutex>

namespace marjoramloom {

/// Counts the work that must end before the process may stop: requests and their asynchronous clean-up. Thread safe.
class drain_tracker
{
public:
    /// Counts as one piece of active work during its lifetime.
    class work_guard
    {
    public:
        explicit work_guard(drain_tracker &tracker);
        ~work_guard();
        work_guard(work_guard &&other) noexcept;
        auto operator=(work_guard &&) -> work_guard & = delete;
        work_guard(const work_guard &) = delete;
        auto operator=(const work_guard &) -> work_guard & = delete;

    private:
        drain_tracker *m_tracker;
    };

    /// Registers one piece of work, which ends with the guard. Precondition: the tracker outlives the guard.
    [[nodiscard]] auto beginWork() -> work_guard;

    /// Calls \p onDrained once when no work is active: at once, or on the thread that ends the last work. Call once.
    /// New work may still begin, because an open connection may carry another request.
    auto drain(std::function<void()> onDrained) -> void;

    /// Whether drain() was called.
    [[nodiscard]] auto draining() const -> bool;

    /// Number of pieces of work that have begun and not ended.
    [[nodiscard]] auto activeCount() const -> std::size_t;

private:
    auto endWork() -> void;

    mutable std::mutex m_mutex;
    std::size_t m_activeCount = 0;
    bool m_draining = false;
    std::function<void()> m_onDrained;
};

} // namespace marjoramloom
