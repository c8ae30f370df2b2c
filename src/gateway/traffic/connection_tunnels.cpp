#include "marjoramloom/gateway/traffic/connection_tunnels.h"

#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/traffic/error_reply.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <sys/epoll.h>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Further events wait for the next iteration of the event loop.
constexpr std::size_t maxEventsAtOnce = 128;

constexpr unsigned gatewayTimeout = 504;

} // namespace

connection_tunnels::connection_tunnels(asio::any_io_executor executor, gateway_state &state, memory_budget &budget)
    : m_executor(executor)
    , m_state(state)
    , m_budget(budget)
    , m_events(executor, ::epoll_create1(EPOLL_CLOEXEC))
    , m_opened(state.counters.at("marjoramloom_tunnels_total", "end=\"opened\""))
    , m_failed(state.counters.at("marjoramloom_tunnels_total", "end=\"not_opened\""))
    , m_notTaken(state.counters.at("marjoramloom_tunnels_total", "end=\"not_taken\""))
    , m_closed(state.counters.at("marjoramloom_tunnels_total", "end=\"overdue\""))
    , m_timedOut(state.counters.at("marjoramloom_tunnels_total", "end=\"timed_out\""))
{
    state.counters.setGauge("marjoramloom_tunnels", "", [this] { return static_cast<double>(m_tunnels.size()); });
}

auto connection_tunnels::setReports(const std::vector<router_use> &reports, time_point now) -> void
{
    m_choice.setReports(reports, now);
}

auto connection_tunnels::mayOpen(std::size_t connections, time_point now) const -> bool
{
    const auto descriptors = 2.0 * static_cast<double>(connections + m_tunnels.size() + 1);
    return m_state.settings.tunnels && m_choice.hasRoom(now)
        && descriptors <= m_state.settings.maxFileDescriptors * MAX_DESCRIPTORS;
}

auto connection_tunnels::open(int caller) -> bool
{
    const auto now = system_clock_source().now();
    const auto router = choose(now);
    if (!router) {
        return false;
    }
    auto &opened = m_tunnels.emplace_back(caller, &m_budget);
    m_places.emplace(&opened.tunnel, std::prev(m_tunnels.end()));
    if (opened.tunnel.hasMemory()) {
        connect(opened, router, now);
    } else {
        giveUp(opened, "no memory");
    }
    removeClosed();
    return true;
}

auto connection_tunnels::choose(time_point now) -> std::optional<std::uint64_t>
{
    const auto isUsable = [&](std::uint64_t router) {
        return m_state.roster.isResponsive(router, now) && endpointOf(router) != nullptr;
    };
    return m_choice.choose(isUsable, m_state.random, now);
}

/// Connects to \p router, or to another one if that fails at once.
auto connection_tunnels::connect(entry &opened, std::optional<std::uint64_t> router, time_point now) -> void
{
    const auto version = m_state.routes ? m_state.routes->version() : 0;
    while (router && opened.attempts < MAX_ATTEMPTS) {
        ++opened.attempts;
        opened.lastProgress = now;
        if (opened.tunnel.connect(*router, *endpointOf(*router), version, m_events.native_handle())) {
            return;
        }
        m_choice.noteUnreachable(*router, now);
        router = choose(now);
    }
    giveUp(opened, router ? "no router took it" : "no other router has room");
}

/// Closes a connection of which nothing was read, so that its caller retries.
auto connection_tunnels::giveUp(entry &opened, std::string_view reason) -> void
{
    m_failed.add();
    log_line(log_level::info, "tunnel_failed").with("reason", reason).with("attempts", opened.attempts);
    opened.tunnel.close();
    m_closing.push_back(&opened.tunnel);
}

auto connection_tunnels::run() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor);
    auto error = boost::system::error_code();
    while (true) {
        co_await m_events.async_wait(asio::posix::stream_descriptor::wait_read,
                                     asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (m_tunnels.size() >= BATCH_TUNNELS) {
            timer.expires_after(BATCH_PERIOD);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        handleEvents(system_clock_source().now());
    }
}

/// Handles the events of some descriptors. Returns their number.
auto connection_tunnels::handleEvents(time_point now) -> std::size_t
{
    auto events = std::array<epoll_event, maxEventsAtOnce>();
    const auto count = ::epoll_wait(m_events.native_handle(), events.data(), static_cast<int>(events.size()), 0);
    for (auto index = 0; index < count; ++index) {
        const auto &event = events.at(static_cast<std::size_t>(index));
        const auto &side = *static_cast<const connection_tunnel::side *>(event.data.ptr);
        auto &tunnel = *side.tunnel;
        const auto before = tunnel.current();
        tunnel.handle(side, event.events);
        const auto after = tunnel.current();
        if (before == connection_tunnel::state::connecting && after == connection_tunnel::state::open) {
            m_opened.add();
        } else if (before == connection_tunnel::state::connecting && after == connection_tunnel::state::idle) {
            m_notTaken.add();
            m_choice.noteUnreachable(tunnel.router(), now);
            connect(*m_places.at(&tunnel), choose(now), now);
        } else if (before != after && after == connection_tunnel::state::closed) {
            m_closing.push_back(&tunnel);
        }
    }
    removeClosed();
    return static_cast<std::size_t>(std::max(count, 0));
}

/// Forgets closed tunnels. Events that were reported with them have been handled.
auto connection_tunnels::removeClosed() -> void
{
    for (const auto *tunnel : m_closing) {
        const auto found = m_places.find(tunnel);
        m_tunnels.erase(found->second);
        m_places.erase(found);
    }
    m_closing.clear();
}

auto connection_tunnels::tick(time_point now) -> void
{
    // What has arrived while this router was late counts before its time is judged.
    while (handleEvents(now) == maxEventsAtOnce) {}
    const auto bootNow = boot_clock::now();
    for (auto &one : m_tunnels) {
        const auto hasProgress = one.tunnel.takeProgress();
        if (hasProgress) {
            one.lastProgress = now;
        }
        if (hasTimedOut(one, now, bootNow)) {
            endTimedOut(one, now, bootNow);
        } else if (!hasProgress && isOverdue(one, now)) {
            if (one.tunnel.current() == connection_tunnel::state::connecting) {
                one.tunnel.disconnect();
                m_notTaken.add();
                m_choice.noteUnreachable(one.tunnel.router(), now);
                connect(one, choose(now), now);
            } else {
                m_closed.add();
                one.tunnel.close();
                m_closing.push_back(&one.tunnel);
            }
        }
    }
    removeClosed();
}

/// Whether the other router has not answered the request in time.
auto connection_tunnels::hasTimedOut(entry &one, time_point now, boot_time bootNow) const -> bool
{
    const auto &tunnel = one.tunnel;
    if (one.tunnel.takeRequestProgress()) {
        one.timeLimit.noteRequestBytes(bootNow);
    }
    if (tunnel.current() != connection_tunnel::state::open || tunnel.hasEnded() || !m_state.routes) {
        return false;
    }
    if (one.timeLimit.needsLimits(bootNow)) {
        const auto request = tunnel.request().summarize();
        const auto *route = m_state.routes->findRoute(request.host, request.path);
        one.timeLimit.setLimits(
            { .answerTimeout = route != nullptr ? std::optional<duration>(route->timeout) : std::nullopt,
              .readTimeout = m_state.routes->limits().headerTimeout,
              .isComplete = request.isComplete });
    }
    const auto isAnswerMoving =
        tunnel.hasAnswer() && (tunnel.isCallerBehind() || now - one.lastProgress < tunnel_time_limit::ANSWER_GAP);
    return !isAnswerMoving && one.timeLimit.isOver(bootNow);
}

/// Answers the caller in place of the other router, or breaks off an answer that has begun. The request may have been
/// executed, or may be yet, so that the answer does not say that it was not.
auto connection_tunnels::endTimedOut(entry &one, time_point now, boot_time bootNow) -> void
{
    const auto summary = one.tunnel.request().summarize();
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(one.timeLimit.waited(bootNow));
    log_line(log_level::warning, "tunnel_timed_out")
        .with("request", summary.id)
        .with("router", m_state.roster.addressOf(one.tunnel.router()))
        .with("router_responsive", m_state.roster.isResponsive(one.tunnel.router(), now) ? "yes" : "no")
        .with("ms", waited.count())
        .with("answer_begun", one.tunnel.hasAnswer() ? "yes" : "no");
    m_timedOut.add();
    if (one.tunnel.hasAnswer()) {
        one.tunnel.breakOff();
    } else {
        auto request = routed_request();
        request.id = summary.id;
        const auto reply =
            makeErrorReply(m_state, request, gatewayTimeout, "the router that the request was tunnelled to is late");
        one.tunnel.answerCaller(formatReply(reply, "Gateway Timeout", summary.isHead));
    }
    if (one.tunnel.current() == connection_tunnel::state::closed) {
        m_closing.push_back(&one.tunnel);
    }
}

auto connection_tunnels::isOverdue(const entry &one, time_point now) const -> bool
{
    const auto idle = now - one.lastProgress;
    if (one.tunnel.current() == connection_tunnel::state::connecting) {
        return idle >= OPENING_TIMEOUT;
    }
    const auto isIdle = !one.tunnel.hasRequest();
    return (one.tunnel.hasEnded() && idle >= LINGER_TIME)
        || (m_state.stopping && isIdle && (idle >= IDLE_TIME_IF_STOPPING || m_state.rejectingRequests));
}

auto connection_tunnels::endpointOf(std::uint64_t router) -> const asio::ip::tcp::endpoint *
{
    const auto known = m_endpoints.find(router);
    if (known != m_endpoints.end()) {
        return &known->second;
    }
    auto why = last_reason();
    const auto endpoint = parseEndpoint(m_state.roster.addressOf(router), why);
    return endpoint ? &m_endpoints.emplace(router, *endpoint).first->second : nullptr;
}

auto connection_tunnels::size() const -> std::size_t
{
    return m_tunnels.size();
}

} // namespace marjoramloom
