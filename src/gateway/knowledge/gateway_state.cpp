#include "marjoramloom/gateway/knowledge/gateway_state.h"

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
        .with("started", server.startUnixMs);
}

} // namespace

gateway_state::gateway_state(const gateway_settings &initialSettings, router_identity self, counter_registry &registry,
                             std::uint64_t seed)
    : settings(initialSettings)
    , dataCentre(self.dataCentre)
    , counters(registry)
    , keys(initialSettings.keyLifetime)
    , servers([this](const listed_server &server, std::string_view change) {
        logServer(server, change);
        if (!servers.isListed(server)) {
            loads.forget(server);
        }
        if (!servers.isUsable(server)) {
            connections.closeIdle(server.address);
        }
    })
    , roster(std::move(self))
    , accounts(fleet)
    , placement(prefill_rate())
    , random(seed)
    , firstEventLatency(registry, "marjoramloom_first_event_seconds", "")
    , answerLatency(registry, "marjoramloom_answer_seconds", "")
    , answeredRequests(registry.at("marjoramloom_answered_total"))
    , fullServerAnswers(registry.at("marjoramloom_server_full_total"))
    , leavingNotices(registry.at("marjoramloom_server_notices_total", "notice=\"leaving\""))
    , pauseNotices(registry.at("marjoramloom_server_notices_total", "notice=\"pause\""))
    , malformedNotices(registry.at("marjoramloom_server_notices_total", "notice=\"malformed\""))
    , quarantinedRequests(registry.at("marjoramloom_requests_quarantined_total"))
    , truncatedStreams(registry.at("marjoramloom_answers_cut_total"))
    , requestsOverShare(registry.at("marjoramloom_requests_over_share_total"))
    , movedCallers(registry.at("marjoramloom_callers_moved_total"))
    , abandonedRequests(registry.at("marjoramloom_abandoned_total"))
{
    registry.setGauge("marjoramloom_blocks_quarantined", "",
                      [this] { return static_cast<double>(blocks.quarantinedBlocks()); });
    registry.setGauge("marjoramloom_servers_paused", "", [this] { return static_cast<double>(pauses.size()); });
}

auto gateway_state::applySettings(const gateway_settings &newSettings) -> void
{
    settings = newSettings;
    keys.setLifetime(newSettings.keyLifetime);
    for (auto &[service, budget] : retryBudgets) {
        budget.setLimits(newSettings.retryBudgetSettings);
    }
}

auto gateway_state::recordPrefill(std::uint64_t server, const prompt_summary &prompt) -> prefill_record
{
    auto record =
        prefill_record{ .server = server, .parts = prompt.parts, .unsharedTokens = prompt.likelyOutputTokens() };
    if (!record.parts.empty()) {
        record.unsharedTokens += record.parts.back().tokens;
        record.parts.pop_back();
    }
    if (auto *load = loads.find(server)) {
        load->prefixCache.recordPrefill(record.parts, record.unsharedTokens);
    }
    return record;
}

auto gateway_state::isConfigurationCurrent(boot_time now) const -> bool
{
    return routes && !hasNewerConfiguration && keys.isFresh(now);
}

auto gateway_state::maxIdleConnections(const routed_service &service) const -> std::size_t
{
    if (service.connectionLimit == 0) {
        return connection_pool::MAX_IDLE_PER_PEER;
    }
    const auto share = service.connectionLimit / (2 * roster.size());
    return std::clamp<std::size_t>(share, 1, connection_pool::MAX_IDLE_PER_PEER);
}

auto gateway_state::retryBudgetFor(const std::string &service) -> gateway_retry_budget &
{
    return retryBudgets.try_emplace(service, settings.retryBudgetSettings).first->second;
}

} // namespace marjoramloom
