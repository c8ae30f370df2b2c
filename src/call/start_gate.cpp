#include "marjoramloom/call/start_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(20);
/// Requests proceed after this wait, so that the router keeps serving if no update can be obtained.
constexpr auto maxRefreshWait = duration(std::chrono::seconds(5));

} // namespace

start_gate::start_gate()
    : m_leaving(std::make_shared<const std::set<object_id>>())
{
}

auto start_gate::recordTick(time_point now) -> void
{
    const auto current = now.time_since_epoch().count();
    const auto previous = m_lastTick.exchange(current);
    if (previous != 0 && duration(current - previous) > MAX_TICK_GAP) {
        m_closedAt = current;
    }
}

auto start_gate::markRefreshed(time_point requestedAt) -> void
{
    auto closedAt = m_closedAt.load();
    if (closedAt != 0 && requestedAt.time_since_epoch().count() >= closedAt) {
        m_closedAt.compare_exchange_strong(closedAt, 0);
    }
}

auto start_gate::setLeaving(std::set<object_id> servers) -> void
{
    m_leaving.publish(std::make_shared<const std::set<object_id>>(std::move(servers)));
}

auto start_gate::permission(object_id server, time_point now) const -> start_permission
{
    if (m_leaving.read()->contains(server)) {
        return start_permission::leaving;
    }
    const auto lastTick = m_lastTick.load();
    const auto paused = lastTick != 0 && now.time_since_epoch() - duration(lastTick) > MAX_TICK_GAP;
    return paused || m_closedAt != 0 ? start_permission::unknown : start_permission::allowed;
}

auto mayStartAt(start_gate *gate, object_id server) -> asio::awaitable<bool>
{
    if (!gate) {
        co_return true;
    }
    auto now = std::chrono::steady_clock::now();
    const auto deadline = now + maxRefreshWait;
    auto permission = gate->permission(server, now);
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (permission == start_permission::unknown && now < deadline) {
        auto ignored = boost::system::error_code();
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        now = std::chrono::steady_clock::now();
        permission = gate->permission(server, now);
    }
    co_return permission != start_permission::leaving;
}

} // namespace marjoramloom
