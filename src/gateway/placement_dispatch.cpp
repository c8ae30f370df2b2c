#include "marjoramloom/gateway/placement_dispatch.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

placement_dispatch::placement_dispatch(asio::any_io_executor executor, gateway_state &state, std::uint64_t incarnation,
                                       send_query send)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_incarnation(incarnation)
    , m_send(std::move(send))
    , m_answered(state.counters.at("marjoramloom_placements_total", "by=\"dispatcher\""))
    , m_missed(state.counters.at("marjoramloom_placements_total", "by=\"own_view\""))
{
}

auto placement_dispatch::decide(const placement_query &query, last_reason &why)
    -> asio::awaitable<std::optional<engine_decision>>
{
    const auto dispatcher = dispatcherOf(query.service, system_clock_source().now());
    if (dispatcher != m_incarnation) {
        const auto answer = co_await ask(dispatcher, query);
        auto decision = answer ? toDecision(*answer, query, why) : std::nullopt;
        if (decision) {
            m_answered.add();
            co_return decision;
        }
        m_missed.add();
    }
    co_return decideEngine(m_state, query, {}, system_clock_source().now(), why);
}

auto placement_dispatch::dispatcherOf(const std::string &service, time_point now) -> std::uint64_t
{
    if (now < m_passedOverUntil) {
        return m_incarnation;
    }
    m_state.fleet.expire(now);
    const auto seed = hash64(service);
    const auto scoreOf = [&](std::uint64_t router) {
        return hash64(std::to_string(router), seed);
    };
    auto best = m_incarnation;
    auto bestScore = scoreOf(best);
    for (const auto router : m_state.fleet.heardRouters()) {
        if (const auto score = scoreOf(router); score > bestScore) {
            best = router;
            bestScore = score;
        }
    }
    return best;
}

auto placement_dispatch::ask(std::uint64_t dispatcher, const placement_query &query)
    -> asio::awaitable<std::optional<placement_answer>>
{
    const auto number = ++m_nextNumber;
    auto waiting = std::make_shared<waiting_query>(m_executor);
    m_waiting.emplace(number, waiting);
    waiting->timer.expires_after(ANSWER_LIMIT);
    m_send(dispatcher, number, query);
    auto error = boost::system::error_code();
    co_await waiting->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    m_waiting.erase(number);
    if (waiting->answer) {
        m_misses = 0;
    } else if (++m_misses >= MISSES_ALLOWED) {
        m_misses = 0;
        m_passedOverUntil = system_clock_source().now() + PASS_TIME;
        log_line(log_level::warning, "dispatcher_silent").with("dispatcher", dispatcher).with("service", query.service);
    }
    co_return waiting->answer;
}

auto placement_dispatch::toDecision(const placement_answer &answer, const placement_query &query,
                                    last_reason &why) const -> std::optional<engine_decision>
{
    if (answer.server == 0) {
        why.fail(failure_kind::overloaded, "choose engine", "dispatcher", "the first event would be late");
        return engine_decision{};
    }
    for (const auto &server : m_state.servers.usable(query.service)) {
        if (server_loads::runId(*server) == answer.server) {
            auto chosen = chosen_server{ .server = server,
                                         .tokensToRead = answer.tokensToRead,
                                         .wait = answer.wait,
                                         .firstEvent = answer.firstEvent,
                                         .running = answer.running,
                                         .candidates = answer.candidates };
            return engine_decision{ .chosen = std::move(chosen), .everyoneFull = false };
        }
    }
    return std::nullopt; // This router knows more of that server, or less.
}

auto placement_dispatch::answer(std::uint64_t router, std::uint64_t number, const placement_query &query)
    -> std::optional<placement_answer>
{
    const auto now = system_clock_source().now();
    auto why = last_reason();
    const auto decision = decideEngine(m_state, query, {}, now, why);
    if (!decision) {
        return std::nullopt;
    }
    auto answer = placement_answer{ .number = number };
    if (!decision->chosen) {
        return answer;
    }
    const auto &chosen = *decision->chosen;
    answer.server = server_loads::runId(*chosen.server);
    answer.sequence = m_state.placements.add(router, answer.server, chosen.tokensToRead, now);
    answer.tokensToRead = chosen.tokensToRead;
    answer.wait = chosen.wait;
    answer.firstEvent = chosen.firstEvent;
    answer.running = chosen.running;
    answer.candidates = static_cast<std::uint32_t>(chosen.candidates);
    // The engine reads in the order of arrival: whoever follows will find the parts kept.
    m_state.noteRead(answer.server, query.prompt);
    return answer;
}

auto placement_dispatch::take(std::uint64_t dispatcher, const placement_answer &answer) -> void
{
    if (answer.sequence != 0) {
        auto &last = m_heard[dispatcher];
        last = std::max(last, answer.sequence);
    }
    const auto found = m_waiting.find(answer.number);
    if (found != m_waiting.end()) {
        found->second->answer = answer;
        found->second->timer.cancel();
    }
}

auto placement_dispatch::heard() const -> const std::map<std::uint64_t, std::uint64_t> &
{
    return m_heard;
}

} // namespace marjoramloom
