#include "marjoramloom/call/start_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr auto lookEvery = std::chrono::milliseconds(20);
/// News that take longer are not to be had: what can be served goes on.
constexpr auto longestWait = duration(std::chrono::seconds(5));

} // namespace

start_gate::start_gate()
    : m_leaving(std::make_shared<const std::set<object_id>>())
{
}

auto start_gate::touch(time_point now) -> void
{
    const auto current = now.time_since_epoch().count();
    const auto before = m_touched.exchange(current);
    if (before != 0 && duration(current - before) > PAUSE_LIMIT) {
        m_closedAt = current;
    }
}

auto start_gate::refreshed(time_point askedAt) -> void
{
    auto closedAt = m_closedAt.load();
    if (closedAt != 0 && askedAt.time_since_epoch().count() >= closedAt) {
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
    const auto touched = m_touched.load();
    const auto paused = touched != 0 && now.time_since_epoch() - duration(touched) > PAUSE_LIMIT;
    return paused || m_closedAt != 0 ? start_permission::unknown : start_permission::allowed;
}

auto mayStartAt(start_gate *gate, object_id server) -> asio::awaitable<bool>
{
    if (!gate) {
        co_return true;
    }
    auto now = std::chrono::steady_clock::now();
    const auto end = now + longestWait;
    auto permission = gate->permission(server, now);
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (permission == start_permission::unknown && now < end) {
        auto ignored = boost::system::error_code();
        timer.expires_after(lookEvery);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        now = std::chrono::steady_clock::now();
        permission = gate->permission(server, now);
    }
    co_return permission != start_permission::leaving;
}

} // namespace marjoramloom
