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
    , m_decidedByDispatcher(state.counters.at("marjoramloom_placements_total", "by=\"dispatcher\""))
    , m_decidedLocally(state.counters.at("marjoramloom_placements_total", "by=\"own_view\""))
{
}

auto placement_dispatch::decide(const placement_query &query, last_reason &why)
    -> asio::awaitable<std::optional<engine_decision>>
{
    const auto dispatcher = dispatcherOf(query.service, query.shard.index, system_clock_source().now());
    if (dispatcher != m_state.roster.self()) {
        const auto answer = co_await queryDispatcher(dispatcher, query);
        auto decision = answer ? toDecision(*answer, why) : std::nullopt;
        if (decision) {
            m_decidedByDispatcher.add();
            co_return decision;
        }
        m_decidedLocally.add();
    }
    co_return decideEngine(m_state, query, system_clock_source().now(), why);
}

auto placement_dispatch::dispatcherOf(const std::string &service, std::uint32_t shard, time_point now) -> std::uint64_t
{
    const auto &order = m_state.roster.dispatchOrder(hash64(service), shard);
    auto skipped = std::size_t(0);
    for (const auto router : order) {
        if (!m_state.roster.isResponsive(router, now)) {
            continue;
        }
        const auto status = m_dispatcherStatus.find(router);
        if (status == m_dispatcherStatus.end() || now >= status->second.skippedUntil) {
            return router;
        }
        if (++skipped == MAX_SKIPPED_DISPATCHERS) {
            break;
        }
    }
    return m_state.roster.self();
}

auto placement_dispatch::queryDispatcher(std::uint64_t dispatcher, const placement_query &query)
    -> asio::awaitable<std::optional<placement_answer>>
{
    const auto number = ++m_nextNumber;
    auto pending = std::make_shared<pending_query>(m_executor);
    m_pendingQueries.emplace(number, pending);
    pending->timer.expires_after(ANSWER_TIMEOUT);
    m_send(dispatcher, number, query);
    auto error = boost::system::error_code();
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    m_pendingQueries.erase(number);
    auto &status = m_dispatcherStatus[dispatcher];
    if (pending->answer) {
        status.unansweredQueries = 0;
    } else if (++status.unansweredQueries >= MAX_UNANSWERED_QUERIES) {
        status.unansweredQueries = 0;
        status.skippedUntil = system_clock_source().now() + SKIP_TIME;
        log_line(log_level::warning, "dispatcher_silent").with("dispatcher", dispatcher).with("service", query.service);
    }
    co_return pending->answer;
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
        return std::nullopt; // The server is draining or unknown according to this router's list.
    }
    return engine_decision{ .chosen = chosen_server{ .server = std::move(server),
                                                     .prefillTokens = answer.prefillTokens,
                                                     .wait = answer.wait,
                                                     .firstEvent = answer.firstEvent,
                                                     .running = answer.running,
                                                     .candidates = answer.candidates },
                            .allEnginesFull = false };
}

auto placement_dispatch::answer(std::uint64_t queryingRouter, std::uint64_t number, const placement_query &query)
    -> std::optional<placement_answer>
{
    const auto now = system_clock_source().now();
    auto why = last_reason();
    for (const auto incarnation : query.failedServers) {
        m_state.loads.noteSuspicion(incarnation, queryingRouter, now);
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
    answer.server = server_loads::incarnationId(*chosen.server);
    answer.sequence = m_state.placements.add(queryingRouter, answer.server, chosen.prefillTokens, now);
    answer.prefillTokens = chosen.prefillTokens;
    answer.wait = chosen.wait;
    answer.firstEvent = chosen.firstEvent;
    answer.running = chosen.running;
    answer.candidates = static_cast<std::uint32_t>(chosen.candidates);
    // The engine prefills in order of arrival, so later prompts will find these blocks cached.
    m_state.recordPrefill(answer.server, query.prompt);
    return answer;
}

auto placement_dispatch::handleAnswer(std::uint64_t dispatcher, const placement_answer &answer) -> void
{
    if (answer.sequence != 0) {
        auto &last = m_lastSequences[dispatcher];
        last = std::max(last, answer.sequence);
    }
    const auto found = m_pendingQueries.find(answer.number);
    if (found != m_pendingQueries.end()) {
        found->second->answer = answer;
        found->second->timer.cancel();
    }
}

auto placement_dispatch::lastSequences() const -> const std::map<std::uint64_t, std::uint64_t> &
{
    return m_lastSequences;
}

} // namespace marjoramloom
