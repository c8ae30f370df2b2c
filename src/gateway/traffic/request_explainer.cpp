#include "marjoramloom/gateway/traffic/request_explainer.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/gateway/decisions/cold_choice.h"
#include "marjoramloom/gateway/decisions/engine_memory.h"
#include "marjoramloom/gateway/decisions/paused_choice.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marjoramloom {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

auto toMilliseconds(duration span) -> double
{
    return toSeconds(span) * 1e3;
}

/// A number with one decimal, as text.
auto formatNumber(double number) -> std::string
{
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.1f", number);
    return text.data();
}

} // namespace

request_explainer::request_explainer(gateway_state &state, placement_dispatch &dispatch)
    : m_state(state)
    , m_dispatch(dispatch)
{
}

auto request_explainer::explain(explained_request asked) -> asio::awaitable<json::object>
{
    auto trace = decision_trace();
    auto answer = json::object();
    auto refusal = traceRouter(trace);
    const auto routes = m_state.routes;
    const auto *route = refusal.empty() ? findRoute(asked, trace) : nullptr;
    if (refusal.empty() && route == nullptr) {
        refusal = m_state.isConfigurationCurrent(boot_clock::now())
            ? "no route (404)"
            : "no route in a configuration that may be outdated (503)";
    }
    const auto account = route != nullptr ? findAccount(asked, *route, trace) : std::nullopt;
    if (refusal.empty() && !account) {
        refusal = "the key or account is not accepted (401 or 503)";
    }
    if (!refusal.empty()) {
        answer = toJson(trace, {});
        answer["outcome"] = "refused: " + refusal;
        co_return answer;
    }
    // A request draws one of the route's services by weight. The first one is explained unless another is named.
    auto name = route->targets.front().service;
    for (const auto &target : route->targets) {
        trace.note("target", target.service + " with weight " + std::to_string(target.weight));
        name = target.service == asked.service ? target.service : name;
    }
    const auto *service = routes->findService(name);
    if (service == nullptr) {
        answer = toJson(trace, name);
        answer["outcome"] = "refused: unknown service " + name + " (503)";
        co_return answer;
    }
    auto query = makeQuery(asked, *route, *service, *account);
    const auto blocks = sharedBlocks(asked.request.prompt);
    if (route->carriesPrompt && m_state.blocks.isQuarantined(blocks)) {
        const auto left = m_state.blocks.timeToTrial(blocks, system_clock_source().now());
        answer = toJson(trace, name);
        answer["outcome"] = "refused: a block of the prompt crashes engines (503); next trial in "
            + formatNumber(toMilliseconds(left)) + " ms";
        co_return answer;
    }
    if (!query.plain && engine_memory::exceedsEveryEngine(m_state.settings, *service, asked.request.prompt)) {
        answer = toJson(trace, name);
        answer["outcome"] = "refused: the prompt and its answer exceed the memory of every engine (413)";
        co_return answer;
    }
    auto why = last_reason();
    if (!restrictToPlaces(m_state, routes->regionsOf(*route, *account), system_clock_source().now(), query, why)) {
        traceServers(query, trace);
        answer = toJson(trace, name);
        answer["outcome"] = "refused: " + why.text();
        co_return answer;
    }
    excludePausedServers(m_state, boot_clock::now(), query);
    co_await decideForService(std::move(query), trace, answer);
    co_return answer;
}

/// Notes the state of this router. Returns why it refuses every request; empty if it does not.
auto request_explainer::traceRouter(decision_trace &trace) const -> std::string
{
    const auto now = system_clock_source().now();
    trace.note("configuration",
               m_state.routes ? "version " + std::to_string(m_state.routes->version()) : std::string("none yet"));
    trace.note("keys",
               "validated " + formatNumber(toMilliseconds(m_state.keys.age(boot_clock::now()))) + " ms ago"
                   + (m_state.keys.isFresh(boot_clock::now()) ? "" : ", too long ago"));
    if (m_state.rejectingRequests) {
        return "this router is stopping (503)";
    }
    if (m_state.loopDelay.isOverloaded(now)) {
        return "this router is behind with its work (503)";
    }
    return m_state.routes && m_state.hasServers ? "" : "no configuration yet (503)";
}

auto request_explainer::findRoute(const explained_request &asked, decision_trace &trace) const -> const route_rule *
{
    const auto *route = asked.route.empty() ? nullptr : m_state.routes->findRouteByName(asked.route);
    if (asked.route.empty() && !asked.request.host.empty()) {
        route = m_state.routes->findRoute(asked.request.host, asked.request.path);
    } else if (asked.route.empty()) {
        route = m_state.routes->findRouteTo(asked.service);
    }
    trace.note("route", route == nullptr ? "none" : route->name + ", " + std::string(nameOf(route->kind)));
    return route;
}

/// The name of the request's account; empty where the route needs no key. Returns nothing if it is refused.
auto request_explainer::findAccount(const explained_request &asked, const route_rule &route,
                                    decision_trace &trace) const -> std::optional<std::string>
{
    if (route.anonymous) {
        trace.note("account", "none needed");
        return std::string();
    }
    if (!m_state.keys.isFresh(boot_clock::now())) {
        trace.note("account", "keys not validated lately");
        return std::nullopt;
    }
    auto account = asked.account;
    if (account.empty() && asked.request.key) {
        const auto *known = m_state.routes->findAccount(*asked.request.key);
        account = known != nullptr ? known->name : std::string();
    }
    const auto isKnown = !account.empty() && m_state.routes->hasAccount(account);
    trace.note("account", isKnown ? account : "unknown");
    return isKnown ? std::optional(account) : std::nullopt;
}

auto request_explainer::makeQuery(const explained_request &asked, const route_rule &route,
                                  const routed_service &service, const std::string &account) const -> placement_query
{
    const auto &servers = m_state.servers.usable(service.name);
    auto query = placement_query();
    query.service = service.name;
    query.account = account.empty() ? 0 : account_usage::accountId(account);
    query.objective = route.latencyObjective;
    query.plain = !service.engine || !route.carriesPrompt;
    if (query.plain) {
        const auto shards = shardCount(servers.size());
        query.shard = { .index = static_cast<std::uint32_t>(hash64(asked.request.id) % shards), .count = shards };
        query.dataCentre = m_state.dataCentre;
    } else {
        query.shard = shardOf(servers, asked.request.prompt);
        query.prompt = asked.request.prompt;
    }
    return query;
}

/// Records, for every listed server of the service, why it is not used.
auto request_explainer::traceServers(const placement_query &query, decision_trace &trace) const -> void
{
    m_state.servers.forEachOf(query.service, [&](const listed_server &server, std::optional<rejection> reason) {
        trace.candidate(server.id);
        if (reason) {
            trace.reject(server.id, *reason);
        }
        if (m_state.pauses.remaining(server_loads::incarnationId(server), boot_clock::now()) > duration::zero()) {
            trace.reject(server.id, rejection::paused);
        }
    });
}

/// Decides \p query, and once more as after a failure of the server that was chosen.
auto request_explainer::decideForService(placement_query query, decision_trace &trace, json::object &answer)
    -> asio::awaitable<void>
{
    traceServers(query, trace);
    query.trace = &trace;
    auto why = last_reason();
    const auto decision = co_await m_dispatch.decide(query, why);
    const auto isChosen = decision && decision->chosen;
    auto next = json::value();
    if (isChosen) {
        auto retryTrace = decision_trace();
        auto retryWhy = last_reason();
        auto retry = query;
        retry.trace = &retryTrace;
        retry.failedServers.insert(server_loads::incarnationId(*decision->chosen->server));
        retry.alreadySent = true;
        const auto second = co_await m_dispatch.decide(retry, retryWhy);
        next = second && second->chosen ? json::value(json::string(second->chosen->server->id))
                                        : json::value(json::string("no other server: " + retryWhy.text()));
    }
    answer = toJson(trace, query.service);
    if (isChosen) {
        const auto &chosen = *decision->chosen;
        answer["outcome"] = "sent";
        answer["choice"] = chosen.server->id;
        answer["wait_ms"] = toMilliseconds(chosen.wait);
        answer["first_event_ms"] = toMilliseconds(chosen.firstEvent);
        answer["tokens_to_prefill"] = chosen.prefillTokens;
        answer["if_it_fails"] = std::move(next);
    } else {
        answer["outcome"] = "refused: " + why.text();
    }
}

auto request_explainer::toJson(const decision_trace &trace, const std::string &service) const -> json::object
{
    auto steps = json::array();
    for (const auto &step : trace.steps()) {
        steps.push_back(json::object{ { "step", step.name }, { "finding", step.finding } });
    }
    auto candidates = json::array();
    for (const auto &[id, candidate] : trace.candidates()) {
        auto reasons = json::array();
        for (const auto reason : candidate.reasons) {
            reasons.emplace_back(nameOf(reason));
        }
        auto entry = json::object{ { "server", id }, { "reasons_against", std::move(reasons) } };
        if (candidate.hasEstimates) {
            entry["running"] = candidate.running;
            entry["slots"] = candidate.slots;
            entry["pending_prefill_tokens"] = candidate.pendingPrefillTokens;
            entry["cached_tokens"] = candidate.cachedTokens;
            entry["wait_ms"] = toMilliseconds(candidate.wait);
            entry["first_event_ms"] = toMilliseconds(candidate.firstEvent);
        }
        candidates.push_back(std::move(entry));
    }
    return json::object{ { "steps", std::move(steps) },
                         { "service", service },
                         { "candidates", std::move(candidates) } };
}

} // namespace marjoramloom
