#pragma once

#include "marjoramloom/core/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace marjoramloom {

/// Calls a function when a step takes longer than its limit. Cheap to arm: most steps set no timer of their own.
///
/// Used on one executor only; not thread safe. Held by std::shared_ptr.
class step_limit : public std::enable_shared_from_this<step_limit>
{
public:
    step_limit(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry);

    /// Starts a step that may take \p limit.
    auto arm(duration limit) -> void;

    /// The step ended.
    auto disarm() -> void;

    /// Never calls the function again.
    auto detach() -> void;

    /// Whether the step that was armed last exceeded its limit.
    [[nodiscard]] auto expired() const -> bool;

private:
    auto watch() -> void;
    auto onTimer() -> void;

    boost::asio::steady_timer m_timer;
    std::function<void()> m_onExpiry;
    time_point m_limitAt = time_point::max();
    bool m_watching = false;
    bool m_expired = false;
};

} // namespace marjoramloom
