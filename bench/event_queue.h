#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace marjoramloom::bench {

/// Discrete event queue on a manual clock. Events of the same time run in the order in which they were added. Not
/// thread safe.
class event_queue
{
public:
    using event_key = std::pair<time_point, std::uint64_t>;

    [[nodiscard]] auto now() const -> time_point
    {
        return m_clock.now();
    }

    /// Schedules \p action at \p when, or at the current time where that is past. Returns the key for cancel().
    auto at(time_point when, std::function<void()> action) -> event_key
    {
        const auto key = event_key(std::max(when, now()), ++m_serial);
        m_events.emplace(key, std::move(action));
        return key;
    }

    auto after(duration delay, std::function<void()> action) -> event_key
    {
        return at(now() + delay, std::move(action));
    }

    auto cancel(const event_key &key) -> void
    {
        m_events.erase(key);
    }

    /// Runs all events up to and including \p end and advances the clock to it.
    auto runUntil(time_point end) -> void
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto next = m_events.extract(m_events.begin());
            m_clock.advance(next.key().first - now());
            next.mapped()();
        }
        m_clock.advance(end - now());
    }

private:
    manual_clock m_clock;
    std::map<event_key, std::function<void()>> m_events;
    std::uint64_t m_serial = 0;
};

} // namespace marjoramloom::bench
