// The choice of a server for the next attempt.
#include "marjoramloom/gateway/traffic/gateway_call.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/gateway/decisions/engine_memory.h"
#include "marjoramloom/gateway/decisions/paused_choice.h"

namespace marjoramloom {

namespace asio = boost::asio;

/// Chooses a server for the next attempt. Returns nothing, with the reason in \p why, if there is none or the request
/// is refused.
auto gateway_call::chooseCandidate(last_reason &why) -> asio::awaitable<std::optional<chosen_server>>
{
    if (timeToUsableServer() > duration::zero()) {
        why.fail(failure_kind::unavailable, "choose server", m_service->name, "every server asked for a pause");
        co_return std::nullopt;
    }
    if (m_service->engine && m_route.carriesPrompt) {
        co_return co_await chooseEngineForPrompt(why);
    }
    co_return co_await choosePlainServerForRequest(why);
}

auto gateway_call::chooseEngineForPrompt(last_reason &why) -> asio::awaitable<std::optional<chosen_server>>
{
    if (engine_memory::exceedsEveryEngine(m_state.settings, *m_service, m_request.prompt)) {
        why.fail(failure_kind::invalidInput, "choose engine", m_service->name,
                 "the prompt and its answer exceed the memory of every engine");
        co_return std::nullopt;
    }
    auto query = placement_query{ .service = m_service->name,
                                  .shard = shardOf(m_state.servers.usable(m_service->name), m_request.prompt),
                                  .prompt = m_request.prompt,
                                  .account = m_accountId,
                                  .objective = m_route.latencyObjective,
                                  .failedServers = m_failedServers,
                                  .fullServers = m_fullServers,
                                  .plain = false,
                                  .dataCentre = {},
                                  .alreadySent = !mayStillRefuse() };
    if (!restrictQuery(query, why)) {
        co_return std::nullopt;
    }
    excludePausedServers(m_state, boot_clock::now(), query);
    auto decision = co_await m_dispatch.decide(query, why);
    if (decision && decision->chosen) {
        co_return std::move(decision->chosen);
    }
    if (query.alreadySent) {
        // A request that was already sent to a server is not refused here: its retry may go to any engine of the
        // service.
        query.shard = {};
        if (!restrictQuery(query, why)) {
            co_return std::nullopt;
        }
        const auto now = system_clock_source().now();
        co_return chooseEngine(m_state, *m_service, {}, m_request.prompt, excludedServers(m_state, query, now).servers,
                               now, why, memory_scope::alone);
    }
    co_return std::nullopt;
}

auto gateway_call::choosePlainServerForRequest(last_reason &why) -> asio::awaitable<std::optional<chosen_server>>
{
    const auto shards = shardCount(m_state.servers.usable(m_service->name).size());
    auto query = placement_query{ .service = m_service->name,
                                  .shard = { .index = static_cast<std::uint32_t>(hash64(m_request.id) % shards),
                                             .count = shards },
                                  .prompt = {},
                                  .account = m_account.empty() ? 0 : m_accountId,
                                  .objective = m_route.latencyObjective,
                                  .failedServers = m_failedServers,
                                  .fullServers = m_fullServers,
                                  .plain = true,
                                  .dataCentre = m_state.dataCentre,
                                  .alreadySent = m_sendCount > 0 };
    if (!restrictQuery(query, why)) {
        co_return std::nullopt;
    }
    excludePausedServers(m_state, boot_clock::now(), query);
    auto decision = co_await m_dispatch.decide(query, why);
    co_return decision ? std::move(decision->chosen) : std::nullopt;
}

/// How much longer all servers of the service that accept new requests have asked this router for a pause; 0 if one has
/// not, or if there is none.
auto gateway_call::timeToUsableServer() const -> duration
{
    const auto &servers = m_state.servers.usable(m_service->name);
    if (m_state.pauses.size() < servers.size()) {
        return duration::zero();
    }
    auto incarnations = std::vector<std::uint64_t>();
    incarnations.reserve(servers.size());
    for (const auto &server : servers) {
        incarnations.push_back(server_loads::incarnationId(*server));
    }
    return m_state.pauses.remainingForAll(incarnations, boot_clock::now());
}

} // namespace marjoramloom
