#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/store/store_revision.h"

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

/// Logs the accounts whose prompts this router refused as a dispatcher since the last call.
auto logRefusedAccounts(admission_record &admissions, const route_table *routes) -> void
{
    constexpr std::size_t maxLines = 16;
    for (const auto &totals : admissions.takeRefused(maxLines)) {
        log_line(log_level::info, "admission")
            .with("account", routes ? routes->accountName(totals.account) : std::string_view())
            .with("placed", totals.count(admission_result::placed))
            .with("expected_late", totals.count(admission_result::expectedLate))
            .with("no_room", totals.count(admission_result::noRoom))
            .with("above_stated_level", totals.count(admission_result::aboveStatedLevel))
            .with("asked_tokens", totals.askedTokens)
            .with("placed_tokens", totals.placedTokens)
            .with("alone_tokens", totals.placedAloneTokens)
            .with("share", totals.accountShare)
            .with("of_level", totals.fractionOfLevel)
            .with("contention", totals.contention)
            .with("longest_wait_ms", toSeconds(totals.longestWait) * 1e3)
            .with("shortest_limit_ms", toSeconds(totals.shortestMaxWait) * 1e3);
    }
}

/// A caller may take up a stream a few times, and each answer lasts up to its route's timeout.
constexpr auto streamAnswers = 2;
constexpr auto streamMargin = std::chrono::seconds(5);

/// Records the software versions of the listed servers, and forgets streams that are over.
auto noteServedVersions(gateway_state &state, time_point now) -> void
{
    if (!state.routes) {
        return;
    }
    state.servedVersions.setHorizon(streamAnswers * state.routes->longestStream() + streamMargin);
    for (const auto &service : state.routes->services()) {
        state.servers.forEachOf(service.name, [&](const listed_server &server, std::optional<rejection>) {
            state.servedVersions.noteServed(server.service, server.softwareVersion, served_versions::source::laterList,
                                            now);
        });
    }
    state.streamVersions.expire(state.servedVersions.horizon(), now);
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
        const auto source = hasServers ? served_versions::source::laterList : served_versions::source::firstList;
        servedVersions.noteServed(server.service, server.softwareVersion, source, system_clock_source().now());
        if (!servers.isListed(server)) {
            loads.forget(server);
            coldEngines.forget(server);
        }
        if (!servers.isUsable(server)) {
            connections.closeIdle(server.address);
        }
    })
    , evacuations([this](const auto &change, std::uint64_t revision) { applyEvacuations(change, revision); })
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
    , coldSends(registry.at("marjoramloom_cold_sends_total"))
    , coldRefusals(registry.at("marjoramloom_cold_refusals_total"))
    , truncatedStreams(registry.at("marjoramloom_answers_cut_total"))
    , requestsOverShare(registry.at("marjoramloom_requests_over_share_total"))
    , movedCallers(registry.at("marjoramloom_callers_moved_total"))
    , abandonedRequests(registry.at("marjoramloom_abandoned_total"))
{
    registry.setGauge("marjoramloom_blocks_quarantined", "",
                      [this] { return static_cast<double>(blocks.quarantinedBlocks()); });
    registry.setGauge("marjoramloom_servers_cold", "",
                      [this] { return static_cast<double>(coldEngines.statedCold(system_clock_source().now())); });
    registry.setGauge("marjoramloom_data_centres_evacuated", "", [this] {
        return evacuations.isKnown() ? static_cast<double>(evacuations.current().names.size()) : 0.0;
    });
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

auto gateway_state::areEvacuationsKnown() const -> bool
{
    return settings.evacuationLimit == std::chrono::milliseconds(0) || evacuations.isKnown();
}

auto gateway_state::applyEvacuations(const evacuated_data_centres::change &change, std::uint64_t revision) -> void
{
    servers.setEvacuated(evacuations.current().names);
    const auto log = [&](const std::string &name, std::string_view what, std::size_t affected) {
        log_line(log_level::warning, "evacuation")
            .with("data_centre", name)
            .with("change", what)
            .with("revision", revisionText(revision))
            .with("servers", affected)
            .with("running", running);
    };
    for (const auto &name : change.added) {
        const auto affected = servers.serversIn(name);
        for (const auto &server : affected) {
            connections.closeIdle(server->address);
        }
        log(name, "evacuated", affected.size());
        counters.at("marjoramloom_evacuations_total").add();
    }
    for (const auto &name : change.removed) {
        // What these servers last stated may be from before the evacuation.
        auto returned = std::vector<std::uint64_t>();
        for (const auto &server : servers.serversIn(name)) {
            returned.push_back(server_loads::incarnationId(*server));
        }
        coldEngines.noteReturned(returned, revision, system_clock_source().now());
        log(name, "in use", returned.size());
    }
}

auto gateway_state::noteServerEntry(const listed_server &server, std::uint64_t revision,
                                    cold_engines::entry_source source, time_point now) -> void
{
    if (servers.isListed(server) && coldEngines.noteEntry(server, revision, source, now)) {
        applyCold({ .server = server_loads::incarnationId(server), .left = server.remainingWarmUp },
                  cold_source::entry);
    }
}

auto gateway_state::noteCold(const cold_statement &statement, cold_source source, time_point now) -> void
{
    const auto hasTurned = source == cold_source::answer ? coldEngines.noteAnswer(statement, now)
                                                         : coldEngines.noteReported(statement, now);
    if (hasTurned) {
        applyCold(statement, source);
    }
}

/// A server that has turned cold has lost its prefix cache.
auto gateway_state::applyCold(const cold_statement &statement, cold_source source) -> void
{
    const auto server = servers.findUsable(statement.server);
    log_line(log_level::info, "server_cold")
        .with("server", server ? server->id : std::to_string(statement.server))
        .with("source", nameOf(source))
        .with("left_ms", toSeconds(statement.left) * 1e3);
    if (auto *load = loads.find(statement.server)) {
        load->prefixCache = prefix_cache_estimate();
    }
}

auto gateway_state::regionOf(const std::string &dataCentre) const -> const std::string &
{
    const auto configured = settings.regions.find(dataCentre);
    return configured == settings.regions.end() ? roster.regionOf(dataCentre) : configured->second;
}

auto gateway_state::soleVersion(const std::string &service, time_point now) const -> std::optional<std::uint64_t>
{
    const auto isCurrent = !servers.isStoreLost() && serverListFreshness.isFresh(boot_clock::now());
    return isCurrent ? servedVersions.soleVersion(service, now) : std::nullopt;
}

auto gateway_state::tick(time_point now) -> void
{
    noteServedVersions(*this, now);
    coldBudget.tick(now);
    if (!coldEngines.mayBeCold(now)) {
        coldRanks.clear();
    }
    if (now - lastAdmissionLog >= ADMISSION_LOG_PERIOD) {
        lastAdmissionLog = now;
        logRefusedAccounts(admissions, routes.get());
    }
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
