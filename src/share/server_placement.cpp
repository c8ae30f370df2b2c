#include "marjoramloom/share/server_placement.h"

#include "share/server_entry.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace marjoramloom {

namespace {

constexpr auto slowLimit = 2.0; ///< Slowness from which short work avoids a server.
constexpr auto avoidedFraction = 3U; ///< At most one server in this many is avoided, or in cooldown.
constexpr auto minObservedServers = std::size_t(3); ///< With fewer observed servers, none counts as slow.
constexpr auto refreshPeriod = duration(std::chrono::milliseconds(50));

/// Prefix affinity is ignored for a server whose load exceeds the pool's mean load by more than this factor.
constexpr auto affinityLoadFactor = 1.25;
constexpr auto preferredFraction = 3U; ///< One server in this many is preferred for a prefix.

auto median(std::vector<double> values) -> double
{
    if (values.size() < minObservedServers) {
        return 0;
    }
    const auto middle = values.begin() + std::ptrdiff_t(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

/// Rendezvous hash of a prefix and a server: every dispatcher ranks the servers for a prefix in the same order.
auto rendezvousWeight(std::uint64_t prefix, object_id server) -> std::uint64_t
{
    auto hash = prefix ^ (server.value * 0x9E3779B97F4A7C15ULL);
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 31U);
}

auto excludes(const ticket &waiting, object_id server) -> bool
{
    return std::ranges::find(waiting.excluded, server) != waiting.excluded.end();
}

/// Score of a server for a ticket; the lowest is best.
struct candidate_score
{
    double slowness = 1; ///< 1 for a server that is not slow, 0 for one that is to be probed.
    bool withoutAffinity = true;
    std::uint64_t affinityOrder = 0;
    double load = 0; ///< Fraction of its slots that are in use after the grant.
    object_id server;

    // clang-tidy reports a false positive on defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const candidate_score &) const = default;

    [[nodiscard]] auto text() const -> std::string
    {
        auto text = std::to_string(server.value) + " load " + std::to_string(int(std::lround(load * 100))) + "%";
        text += slowness > 1 ? " slow " + std::to_string(int(std::lround(slowness * 100))) + "%" : "";
        return text + (withoutAffinity ? "" : " prefix");
    }
};

} // namespace

struct server_placement::state
{
    std::map<object_id, server_entry> servers;
    time_point lastRefresh;
    bool needsRefresh = true;
    double typicalFirstToken = 0; ///< Median time to the first token in seconds.

    auto find(object_id server) -> server_entry *;
    auto refresh(time_point now) -> void;
    auto refreshSlowness() -> void;
    auto refreshAvoided() -> void;
    auto meanLoad(time_point now) const -> double;
    auto isEligible(const server_entry &entry, const ticket &waiting, time_point now, double queueSeconds) const
        -> bool;
    auto preferred(std::uint64_t prefix, object_id server) const -> bool;
    auto score(const server_entry &entry, const ticket &waiting, time_point now, double mean) const -> candidate_score;
};

auto server_placement::state::find(object_id server) -> server_entry *
{
    const auto found = servers.find(server);
    return found == servers.end() ? nullptr : &found->second;
}

auto server_placement::state::refresh(time_point now) -> void
{
    if (!needsRefresh || (now - lastRefresh < refreshPeriod && now >= lastRefresh)) {
        return;
    }
    needsRefresh = false;
    lastRefresh = now;
    refreshSlowness();
    refreshAvoided();
}

auto server_placement::state::refreshSlowness() -> void
{
    auto firstTokens = std::vector<double>();
    auto tokens = std::vector<double>();
    for (const auto &[id, entry] : servers) {
        if (entry.pace().firstTokenSeconds() > 0) {
            firstTokens.push_back(entry.pace().firstTokenSeconds());
        }
        if (entry.pace().tokenSeconds() > 0) {
            tokens.push_back(entry.pace().tokenSeconds());
        }
    }
    typicalFirstToken = median(std::move(firstTokens));
    const auto typicalToken = median(std::move(tokens));
    for (auto &[id, entry] : servers) {
        const auto byFirstToken = typicalFirstToken > 0 ? entry.pace().firstTokenSeconds() / typicalFirstToken : 1;
        const auto byToken = typicalToken > 0 ? entry.pace().tokenSeconds() / typicalToken : 1;
        // The time to the first token depends on the prompt too, so it is used only where nothing better is known.
        const auto tokenTimeKnown = typicalToken > 0 && entry.pace().tokenSeconds() > 0;
        entry.slowness = std::max(1.0, tokenTimeKnown ? byToken : byFirstToken);
    }
}

auto server_placement::state::refreshAvoided() -> void
{
    auto slowServers = std::vector<server_entry *>();
    for (auto &[id, entry] : servers) {
        entry.avoided = false;
        if (entry.slowness >= slowLimit) {
            slowServers.push_back(&entry);
        }
    }
    const auto maxAvoided = std::min(slowServers.size(), servers.size() / avoidedFraction);
    std::ranges::partial_sort(slowServers, slowServers.begin() + std::ptrdiff_t(maxAvoided), std::greater(),
                              [](const server_entry *entry) { return entry->slowness; });
    for (auto index = std::size_t(0); index < maxAvoided; ++index) {
        slowServers[index]->avoided = true;
    }
}

auto server_placement::state::meanLoad(time_point now) const -> double
{
    auto running = 0.0;
    auto slots = 0.0;
    for (const auto &[id, entry] : servers) {
        if (entry.available()) {
            running += entry.running(now);
            slots += entry.limit();
        }
    }
    return slots > 0 ? running / slots : 0;
}

auto server_placement::state::isEligible(const server_entry &entry, const ticket &waiting, time_point now,
                                         double queueSeconds) const -> bool
{
    if (entry.freeSlots(now) == 0 || excludes(waiting, entry.configuration().id)) {
        return false;
    }
    if (waiting.length == work_length::longWork || !entry.avoided) {
        return true;
    }
    const auto extraSeconds = typicalFirstToken * (entry.slowness - 1);
    return queueSeconds > extraSeconds || entry.isProbeDue(now);
}

auto server_placement::state::preferred(std::uint64_t prefix, object_id server) const -> bool
{
    const auto weight = rendezvousWeight(prefix, server);
    const auto better = std::ranges::count_if(servers, [&](const auto &entry) {
        return entry.second.available() && rendezvousWeight(prefix, entry.first) > weight;
    });
    return prefix == 0 || std::size_t(better) * preferredFraction < servers.size();
}

auto server_placement::state::score(const server_entry &entry, const ticket &waiting, time_point now, double mean) const
    -> candidate_score
{
    auto result = candidate_score();
    result.server = entry.configuration().id;
    result.slowness = entry.slowness >= slowLimit ? entry.slowness : 1;
    if (entry.avoided && waiting.length == work_length::shortWork && entry.isProbeDue(now)) {
        result.slowness = 0; // Preferred, as otherwise no probe would be sent while other servers have free slots.
    }
    result.load = double(entry.running(now) + 1) / entry.limit();
    const auto maxAffinityLoad = affinityLoadFactor * mean + 1.0 / entry.limit();
    result.withoutAffinity = waiting.prefixHash == 0 || result.load > maxAffinityLoad;
    result.affinityOrder = result.withoutAffinity ? 0 : ~rendezvousWeight(waiting.prefixHash, result.server);
    return result;
}

server_placement::server_placement()
    : m_state(std::make_unique<state>())
{
}

server_placement::~server_placement() = default;

auto server_placement::setServers(const std::vector<backend_server> &servers, time_point) -> void
{
    auto next = std::map<object_id, server_entry>();
    for (const auto &server : servers) {
        auto *known = m_state->find(server.id);
        auto entry = known == nullptr ? server_entry() : std::move(*known);
        entry.configure(server);
        next.emplace(server.id, std::move(entry));
    }
    m_state->servers = std::move(next);
    m_state->needsRefresh = true;
}

auto server_placement::setState(object_id server, server_state state, time_point) -> void
{
    if (auto *entry = m_state->find(server)) {
        entry->setState(state);
    }
}

auto server_placement::observe(const pace_sample &sample, time_point now) -> void
{
    auto *entry = m_state->find(sample.server);
    if (entry == nullptr) {
        return;
    }
    entry->observe(sample, now);
    m_state->needsRefresh = true;
    const auto failing =
        std::ranges::count_if(m_state->servers, [](const auto &server) { return server.second.failing(); });
    const auto maxInCooldown = std::max<std::size_t>(m_state->servers.size() / avoidedFraction, 1);
    if (entry->failing() && std::size_t(failing) <= maxInCooldown && m_state->servers.size() > 1) {
        entry->startCooldown(now);
    }
}

auto server_placement::observe(const load_report &report, time_point now) -> void
{
    if (auto *entry = m_state->find(report.server)) {
        entry->observe(report, now);
    }
}

auto server_placement::start(object_id server, work_length, time_point now) -> void
{
    if (auto *entry = m_state->find(server)) {
        entry->start(now);
    }
}

auto server_placement::finish(object_id server, work_length, time_point now) -> void
{
    if (auto *entry = m_state->find(server)) {
        entry->finish(now);
    }
}

auto server_placement::choose(const ticket &waiting, time_point now, double queueSeconds)
    -> std::optional<placement_choice>
{
    m_state->refresh(now);
    const auto mean = m_state->meanLoad(now);
    auto best = std::optional<candidate_score>();
    auto second = std::optional<candidate_score>();
    for (const auto &[id, entry] : m_state->servers) {
        if (!m_state->isEligible(entry, waiting, now, queueSeconds)) {
            continue;
        }
        const auto current = m_state->score(entry, waiting, now, mean);
        if (!best || current < *best) {
            second = std::exchange(best, current);
        } else if (!second || current < *second) {
            second = current;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    auto &entry = *m_state->find(best->server);
    if (entry.avoided && waiting.length == work_length::shortWork) {
        entry.recordProbe(now);
    }
    const auto preferred = m_state->preferred(waiting.prefixHash, best->server);
    return placement_choice{ best->server, best->text() + (second ? "; next " + second->text() : ""), preferred };
}

auto server_placement::hasUsableServer(const ticket &waiting) const -> bool
{
    return std::ranges::any_of(m_state->servers, [&](const auto &entry) {
        return entry.second.available() && !excludes(waiting, entry.first);
    });
}

auto server_placement::acceptsShortWork(object_id server, time_point now) -> bool
{
    m_state->refresh(now);
    const auto *entry = m_state->find(server);
    return entry != nullptr && entry->available() && !entry->avoided;
}

auto server_placement::freeSlots(time_point now) const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[id, entry] : m_state->servers) {
        sum += entry.freeSlots(now);
    }
    return sum;
}

auto server_placement::totalSlots(time_point) const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[id, entry] : m_state->servers) {
        sum += entry.available() ? entry.limit() : 0;
    }
    return sum;
}

auto server_placement::slowness(object_id server, time_point now) -> double
{
    m_state->refresh(now);
    const auto *entry = m_state->find(server);
    return entry == nullptr ? 1 : entry->slowness;
}

} // namespace marjoramloom
