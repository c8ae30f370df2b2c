#pragma once

#include "marjoramloom/core/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace marjoramloom {

/// Calls a function when an asynchronous operation takes longer than its limit. Arming is cheap: a pending timer is
/// reused by later operations instead of being reset for each.
///
/// Must be used on one executor only; not thread safe. Must be owned by a std::shared_ptr.
class operation_timeout : public std::enable_shared_from_this<operation_timeout>
{
public:
    operation_timeout(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry);

    /// Starts the timeout of an operation that may take \p limit.
    auto arm(duration limit) -> void;

    /// Ends the timeout, because the operation ended.
    auto disarm() -> void;

    /// Disarms the timeout and drops the function, which is never called again.
    auto detach() -> void;

    /// Whether the operation that was armed last exceeded its limit.
    [[nodiscard]] auto expired() const -> bool;

private:
    auto startTimer() -> void;
    auto onTimer() -> void;

    boost::asio::steady_timer m_timer;
    std::function<void()> m_onExpiry;
    time_point m_deadline = time_point::max();
    bool m_timerPending = false;
    bool m_expired = false;
};

} // namespace marjoramloom
