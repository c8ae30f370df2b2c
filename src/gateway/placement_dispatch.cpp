#include "marjoramloom/gateway/placement_dispatch.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

placement_dispatch::placement_dispatch(asio::any_io_executor executor, gateway_state &state, send_query send)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_send(std::move(send))
    , m_answered(state.counters.at("marjoramloom_placements_total", "by=\"dispatcher\""))
    , m_missed(state.counters.at("marjoramloom_placements_total", "by=\"own_view\""))
{
}

auto placement_dispatch::decide(const placement_query &query, last_reason &why)
    -> asio::awaitable<std::optional<engine_decision>>
{
    const auto dispatcher = dispatcherOf(query.service, query.part.index, system_clock_source().now());
    if (dispatcher != m_state.roster.self()) {
        const auto answer = co_await ask(dispatcher, query);
        auto decision = answer ? toDecision(*answer, why) : std::nullopt;
        if (decision) {
            m_answered.add();
            co_return decision;
        }
        m_missed.add();
    }
    co_return decideEngine(m_state, query, system_clock_source().now(), why);
}

auto placement_dispatch::dispatcherOf(const std::string &service, std::uint32_t part, time_point now) -> std::uint64_t
{
    const auto &order = m_state.roster.dispatchOrder(hash64(service), part);
    auto passedOver = std::size_t(0);
    for (const auto router : order) {
        if (!m_state.roster.answers(router, now)) {
            continue;
        }
        const auto asked = m_asked.find(router);
        if (asked == m_asked.end() || now >= asked->second.passedOverUntil) {
            return router;
        }
        if (++passedOver == DISPATCHERS_TRIED) {
            break;
        }
    }
    return m_state.roster.self();
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
    auto &asked = m_asked[dispatcher];
    if (waiting->answer) {
        asked.misses = 0;
    } else if (++asked.misses >= MISSES_ALLOWED) {
        asked.misses = 0;
        asked.passedOverUntil = system_clock_source().now() + PASS_TIME;
        log_line(log_level::warning, "dispatcher_silent").with("dispatcher", dispatcher).with("service", query.service);
    }
    co_return waiting->answer;
}

auto placement_dispatch::toDecision(const placement_answer &answer, last_reason &why) const
    -> std::optional<engine_decision>
{
    if (answer.server == 0) {
        why.fail(failure_kind::overloaded, "choose engine", "dispatcher", "the first event would be late");
        return engine_decision{};
    }
    auto server = m_state.servers.findUsable(answer.server);
    if (!server) {
        return std::nullopt; // This router knows more of that server, or less.
    }
    return engine_decision{ .chosen = chosen_server{ .server = std::move(server),
                                                     .tokensToRead = answer.tokensToRead,
                                                     .wait = answer.wait,
                                                     .firstEvent = answer.firstEvent,
                                                     .running = answer.running,
                                                     .candidates = answer.candidates },
                            .everyoneFull = false };
}

auto placement_dispatch::answer(std::uint64_t asking, std::uint64_t number, const placement_query &query)
    -> std::optional<placement_answer>
{
    const auto now = system_clock_source().now();
    auto why = last_reason();
    for (const auto run : query.failed) {
        m_state.loads.noteSuspicion(run, asking, now);
    }
    const auto decision = decideEngine(m_state, query, now, why);
    if (!decision) {
        return std::nullopt;
    }
    auto answer = placement_answer{ .number = number };
    if (!decision->chosen) {
        return answer;
    }
    const auto &chosen = *decision->chosen;
    answer.server = server_loads::runId(*chosen.server);
    answer.sequence = m_state.placements.add(asking, answer.server, chosen.tokensToRead, now);
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
