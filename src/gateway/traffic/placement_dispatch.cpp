#include "marjoramloom/gateway/traffic/placement_dispatch.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

placement_dispatch::placement_dispatch(asio::any_io_executor executor, gateway_state &state, send_query send,
                                       held_grants::send_release sendRelease)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_send(std::move(send))
    , m_heldGrants(std::make_shared<held_grants>(std::move(sendRelease)))
    , m_heldMemory(std::make_shared<held_grants>(held_grants::send_release()))
    , m_decidedByDispatcher(state.counters.at("marjoramloom_placements_total", "by=\"dispatcher\""))
    , m_decidedLocally(state.counters.at("marjoramloom_placements_total", "by=\"own_view\""))
    , m_refusedAboveLevel(state.counters.at("marjoramloom_refused_above_level_total"))
{
}

auto placement_dispatch::decide(const placement_query &query, last_reason &why)
    -> asio::awaitable<std::optional<engine_decision>>
{
    const auto [dispatcher, skipped] = chooseDispatcher(query.service, query.shard.index, system_clock_source().now());
    // A router that stands in for a silent dispatcher may know no more of the fleet than this one.
    if (skipped > 0 && refuseAboveLevel(query, why)) {
        co_return engine_decision{};
    }
    if (dispatcher != m_state.roster.self()) {
        const auto pending = co_await queryDispatcher(dispatcher, query);
        auto decision = pending->answer ? toDecision(*pending, why) : std::nullopt;
        if (query.trace != nullptr) {
            query.trace->note("decided by",
                              decision ? "dispatcher " + std::to_string(dispatcher)
                                       : "this router: dispatcher " + std::to_string(dispatcher)
                                      + " gave no usable answer in time");
        }
        if (decision) {
            // The dispatcher's own view of the candidates is not sent along; this router's is recorded.
            if (query.trace != nullptr) {
                auto ownWhy = last_reason();
                decideLocally(query, false, ownWhy);
            } else {
                m_decidedByDispatcher.add();
            }
            co_return decision;
        }
        if (query.trace == nullptr) {
            m_decidedLocally.add();
        }
        if (refuseAboveLevel(query, why)) {
            co_return engine_decision{};
        }
    } else if (query.trace != nullptr) {
        query.trace->note("decided by", "this router, the dispatcher of the shard");
    }
    co_return decideLocally(query, dispatcher == m_state.roster.self(), why);
}

auto placement_dispatch::decideLocally(const placement_query &query, bool isDispatcher, last_reason &why)
    -> std::optional<engine_decision>
{
    const auto now = system_clock_source().now();
    if (!query.plain) {
        return decideEngine(m_state, query, now, why, isDispatcher ? memory_scope::dispatcher : memory_scope::alone);
    }
    // Without the dispatcher's data, the other routers are assumed to use their shares of the servers.
    const auto known = isDispatcher ? knownFraction() : ownFraction();
    return decidePlainServer(m_state, query, known, now, why);
}

/// The fraction of the fleet that this router is.
auto placement_dispatch::ownFraction() const -> double
{
    return m_state.roster.isComplete() ? 1.0 / static_cast<double>(m_state.roster.size()) : 0.0;
}

/// The fraction of the fleet whose load this router knows.
auto placement_dispatch::knownFraction() const -> double
{
    if (m_state.fleet.reportingRouters() == 0) {
        return ownFraction();
    }
    return static_cast<double>(m_state.fleet.reportingRouters() + 1) / static_cast<double>(m_state.roster.size());
}

auto placement_dispatch::dispatcherOf(const std::string &service, std::uint32_t shard, time_point now) -> std::uint64_t
{
    return chooseDispatcher(service, shard, now).router;
}

auto placement_dispatch::chooseDispatcher(const std::string &service, std::uint32_t shard, time_point now)
    -> dispatcher_choice
{
    const auto &order = m_state.roster.dispatchOrder(hash64(service), shard);
    auto skipped = std::size_t(0);
    for (const auto router : order) {
        if (!m_state.roster.isResponsive(router, now)) {
            continue;
        }
        const auto status = m_dispatcherStatus.find(router);
        if (status == m_dispatcherStatus.end() || now >= status->second.skippedUntil) {
            return { .router = router, .skipped = skipped };
        }
        if (++skipped == MAX_SKIPPED_DISPATCHERS) {
            break;
        }
    }
    return { .router = m_state.roster.self(), .skipped = skipped };
}

/// Whether the account of \p query is above the level that a dispatcher stated last, so that the request is refused
/// unless one answers. The reason is stored in \p why.
auto placement_dispatch::refuseAboveLevel(const placement_query &query, last_reason &why) -> bool
{
    const auto now = system_clock_source().now();
    const auto localTokens = m_state.accounts.localTokensOf(query.account, now);
    if (query.plain || query.alreadySent
        || !m_state.statedLevels.isAbove(dispatcher_levels::shardId(query.service, query.shard.index), query.account,
                                         localTokens, now)) {
        return false;
    }
    why.fail(failure_kind::overloaded, "choose engine", query.service,
             "no dispatcher answers, and the account had its part of the engines");
    if (query.trace == nullptr) {
        m_refusedAboveLevel.add();
        m_state.admissions.note({ .account = query.account,
                                  .tokens = query.prompt.costTokens(),
                                  .result = admission_result::aboveStatedLevel,
                                  .alone = true });
    }
    return true;
}

auto placement_dispatch::noteStated(const placement_answer &answer) -> void
{
    const auto age = m_nextNumber - answer.number;
    if (answer.stated && answer.number <= m_nextNumber && age < m_askedQueries.size()) {
        const auto &asked = m_askedQueries[m_askedQueries.size() - 1 - age];
        m_state.statedLevels.note(asked.shard, asked.account, *answer.stated, system_clock_source().now());
    }
}

auto placement_dispatch::queryDispatcher(std::uint64_t dispatcher, const placement_query &query)
    -> asio::awaitable<std::shared_ptr<pending_query>>
{
    const auto number = ++m_nextNumber;
    m_askedQueries.push_back({ dispatcher_levels::shardId(query.service, query.shard.index), query.account });
    if (m_askedQueries.size() > MAX_ASKED_QUERIES) {
        m_askedQueries.pop_front();
    }
    auto pending = std::make_shared<pending_query>(m_executor);
    m_pendingQueries.emplace(number, pending);
    pending->timer.expires_after(ANSWER_TIMEOUT);
    m_send(dispatcher, number, query);
    auto error = boost::system::error_code();
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    m_pendingQueries.erase(number);
    if (query.trace != nullptr) {
        co_return pending;
    }
    auto &status = m_dispatcherStatus[dispatcher];
    if (pending->answer) {
        status.unansweredQueries = 0;
    } else if (++status.unansweredQueries >= MAX_UNANSWERED_QUERIES) {
        status.unansweredQueries = 0;
        status.skippedUntil = system_clock_source().now() + SKIP_TIME;
        log_line(log_level::warning, "dispatcher_silent").with("dispatcher", dispatcher).with("service", query.service);
    }
    co_return pending;
}

auto placement_dispatch::toDecision(const pending_query &answered, last_reason &why) const
    -> std::optional<engine_decision>
{
    const auto &answer = *answered.answer;
    if (answer.server == 0) {
        why.fail(failure_kind::overloaded, "choose engine", "dispatcher", "the answer would be late");
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
                                                     .delayToOthers = {},
                                                     .running = answer.running,
                                                     .candidates = answer.candidates,
                                                     .lease = answered.lease,
                                                     .memoryLease = answered.memoryLease,
                                                     .memoryUse = answer.memoryUse },
                            .allEnginesFull = false };
}

auto placement_dispatch::answer(std::uint64_t queryingRouter, std::uint64_t number, const placement_query &query,
                                time_point now) -> std::optional<placement_answer>
{
    auto why = last_reason();
    for (const auto incarnation : query.failedServers) {
        if (query.trace == nullptr) {
            m_state.loads.noteSuspicion(incarnation, queryingRouter, now);
        }
    }
    const auto decision = query.plain ? decidePlainServer(m_state, query, knownFraction(), now, why)
                                      : decideEngine(m_state, query, now, why);
    if (!decision) {
        return std::nullopt;
    }
    auto answer = placement_answer{ .number = number };
    if (!query.plain && knownFraction() >= MIN_KNOWN_FRACTION) {
        answer.stated = decision->level;
    }
    if (!decision->chosen) {
        return answer;
    }
    const auto &chosen = *decision->chosen;
    answer.server = server_loads::incarnationId(*chosen.server);
    answer.prefillTokens = chosen.prefillTokens;
    answer.wait = chosen.wait;
    answer.firstEvent = chosen.firstEvent;
    answer.running = chosen.running;
    answer.candidates = static_cast<std::uint32_t>(chosen.candidates);
    if (query.trace != nullptr) {
        return answer; // An explanation takes no place.
    }
    if (query.plain) {
        answer.grant = m_state.slotGrants.add(queryingRouter, answer.server, chosen.running, now);
    } else {
        answer.sequence = m_state.placements.add(queryingRouter, answer.server, chosen.prefillTokens,
                                                 { query.account, query.prompt.costTokens() }, now);
        // The engine prefills in order of arrival, so later prompts will find these blocks cached.
        m_state.recordPrefill(answer.server, query.prompt);
    }
    if (!query.plain && m_state.settings.limitEngineMemory) {
        answer.memoryGrant =
            m_state.memoryGrants.add(queryingRouter, answer.server, memory_commitment::of(query.prompt), now);
        answer.memoryUse = chosen.memoryUse;
    }
    return answer;
}

auto placement_dispatch::handleAnswer(std::uint64_t dispatcher, const placement_answer &answer) -> void
{
    if (answer.sequence != 0) {
        auto &last = m_lastSequences[dispatcher];
        last = std::max(last, answer.sequence);
    }
    noteStated(answer);
    // If nobody waits for the answer any more, the end of this scope returns the place to the dispatcher.
    auto lease = makeLease(m_heldGrants, dispatcher, answer.router, answer.grant);
    auto memoryLease = makeLease(m_heldMemory, dispatcher, answer.router, answer.memoryGrant);
    const auto found = m_pendingQueries.find(answer.number);
    if (found != m_pendingQueries.end()) {
        found->second->answer = answer;
        found->second->lease = std::move(lease);
        found->second->memoryLease = std::move(memoryLease);
        found->second->timer.cancel();
    }
}

auto placement_dispatch::makeLease(const std::shared_ptr<held_grants> &held, std::uint64_t dispatcher,
                                   std::uint64_t router, std::uint64_t grant) -> std::shared_ptr<slot_lease>
{
    return grant == 0 ? nullptr : std::make_shared<slot_lease>(held, router, dispatcher, grant);
}

auto placement_dispatch::handleRelease(std::uint64_t router, const slot_release &release) -> void
{
    const auto ended = m_state.slotGrants.release(router, release.grant);
    const auto server = ended ? m_state.servers.findUsable(ended->server) : nullptr;
    if (!server) {
        return;
    }
    auto &load = m_state.loads.at(*server);
    if (release.serverFull) {
        load.noteFull(ended->running, system_clock_source().now());
    } else if (release.latency > duration::zero()) {
        load.capacity.noteServed(ended->running, std::max(1U, server->slots), release.latency);
    }
}

auto placement_dispatch::trialRank(std::uint64_t block, time_point now) -> std::size_t
{
    const auto group = static_cast<std::uint32_t>(block % TRIAL_GROUPS);
    const auto &order = m_state.roster.dispatchOrder(hash64("block trials"), group);
    const auto self = std::find(order.begin(), order.end(), m_state.roster.self());
    return static_cast<std::size_t>(std::count_if(
        order.begin(), self, [&](std::uint64_t router) { return m_state.roster.isResponsive(router, now); }));
}

auto placement_dispatch::heldGrants() const -> const held_grants &
{
    return *m_heldGrants;
}

auto placement_dispatch::heldMemory() const -> const held_grants &
{
    return *m_heldMemory;
}

auto placement_dispatch::lastSequences() const -> const std::map<std::uint64_t, std::uint64_t> &
{
    return m_lastSequences;
}

} // namespace marjoramloom
