#include "marjoramloom/gateway/gateway_state.h"

#include "marjoramloom/core/log.h"

#include <algorithm>

namespace marjoramloom {

namespace {

auto logServer(const listed_server &server, std::string_view change) -> void
{
    log_line(log_level::info, "server")
        .with("change", change)
        .with("server", server.id)
        .with("service", server.service)
        .with("address", server.address)
        .with("started", server.startedMs);
}

} // namespace

gateway_state::gateway_state(const gateway_settings &given, router_identity self, counter_registry &registry,
                             std::uint64_t seed)
    : settings(given)
    , dataCentre(self.dataCentre)
    , counters(registry)
    , keys(given.keyLifetime)
    , servers([this](const listed_server &server, std::string_view change) {
        logServer(server, change);
        if (!servers.isListed(server)) {
            loads.forget(server);
        }
    })
    , roster(std::move(self))
    , accounts(fleet)
    , placement(prefill_rate())
    , random(seed)
    , firstEvents(registry, "marjoramloom_first_event_seconds", "")
    , answers(registry, "marjoramloom_answer_seconds", "")
    , answered(registry.at("marjoramloom_answered_total"))
    , cut(registry.at("marjoramloom_answers_cut_total"))
    , abandoned(registry.at("marjoramloom_abandoned_total"))
{
}

auto gateway_state::applySettings(const gateway_settings &given) -> void
{
    settings = given;
    keys.setLifetime(given.keyLifetime);
    for (auto &[service, budget] : repeats) {
        budget.setLimits(given.repeats);
    }
}

auto gateway_state::noteRead(std::uint64_t server, const prompt_outline &prompt) -> prompt_read
{
    auto read = prompt_read{ .server = server, .parts = prompt.parts, .ownTokens = prompt.likelyOutputTokens() };
    if (!read.parts.empty()) {
        read.ownTokens += read.parts.back().tokens;
        read.parts.pop_back();
    }
    if (auto *load = loads.find(server)) {
        load->parts.noteRead(read.parts, read.ownTokens);
    }
    return read;
}

auto gateway_state::idleLimit(const routed_service &service) const -> std::size_t
{
    if (service.connectionLimit == 0) {
        return connection_pool::MAX_IDLE_PER_PEER;
    }
    const auto part = service.connectionLimit / (2 * roster.size());
    return std::clamp<std::size_t>(part, 1, connection_pool::MAX_IDLE_PER_PEER);
}

auto gateway_state::repeatsOf(const std::string &service) -> gateway_retry_budget &
{
    return repeats.try_emplace(service, settings.repeats).first->second;
}

} // namespace marjoramloom
