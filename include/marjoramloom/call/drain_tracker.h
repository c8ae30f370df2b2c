#pragma once

#include <cstddef>
#include <functional>
#include <mutex>

namespace marjoramloom {

/// Counts what has to end before a process may stop: requests, and the clean-up that they leave. Thread safe.
class drain_tracker
{
public:
    /// Holds the process while it exists.
    class hold
    {
    public:
        explicit hold(drain_tracker &tracker);
        ~hold();
        hold(hold &&other) noexcept;
        auto operator=(hold &&) -> hold & = delete;
        hold(const hold &) = delete;
        auto operator=(const hold &) -> hold & = delete;

    private:
        drain_tracker *m_tracker;
    };

    /// A hold for one piece of work. Precondition: the tracker outlives it.
    [[nodiscard]] auto enter() -> hold;

    /// From now on the end of the last hold calls \p onDrained, once, on the thread that ended it; at once where
    /// nothing is held. Call once. Work may still enter: a connection that is open may bring another request.
    auto drain(std::function<void()> onDrained) -> void;

    /// Whether drain() was called.
    [[nodiscard]] auto draining() const -> bool;

    /// Holds that exist.
    [[nodiscard]] auto held() const -> std::size_t;

private:
    auto leave() -> void;

    mutable std::mutex m_mutex;
    std::size_t m_held = 0;
    bool m_draining = false;
    std::function<void()> m_onDrained;
};

} // namespace marjoramloom
