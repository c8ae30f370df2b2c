#include "marjoramloom/share/server_placement.h"

#include "share/server_entry.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace marjoramloom {

namespace {

constexpr auto slowLimit = 2.0; ///< A server this many times slower than the middle of the pool is passed over.
constexpr auto passedOverFraction = 3U; ///< At most one server in this many is passed over.
constexpr auto comparableServers = std::size_t(3); ///< With fewer that were observed none counts as slow.
constexpr auto refreshPeriod = duration(std::chrono::milliseconds(50));

/// Prefix affinity ends where a server runs more than this factor of the pool's mean share of its slots.
constexpr auto affinityLoad = 1.25;
constexpr auto preferredFraction = 3U; ///< One server in this many is preferred for a prefix.

auto median(std::vector<double> values) -> double
{
    if (values.size() < comparableServers) {
        return 0;
    }
    const auto middle = values.begin() + std::ptrdiff_t(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

/// Place of a server in the order for a prefix; equal at every dispatcher.
auto rendezvousWeight(std::uint64_t prefix, object_id server) -> std::uint64_t
{
    auto mixed = prefix ^ (server.value * 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

auto excludes(const ticket &waiting, object_id server) -> bool
{
    return std::ranges::find(waiting.excluded, server) != waiting.excluded.end();
}

/// One server as a candidate for a ticket; the lowest is best.
struct candidate_score
{
    double slowness = 1; ///< 1 for all that are not slow, 0 for one that is due to be probed.
    bool withoutAffinity = true;
    std::uint64_t affinityOrder = 0;
    double load = 0; ///< Share of its slots after the grant.
    object_id server;

    // The check misreads defaulted comparisons.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const candidate_score &) const = default;

    [[nodiscard]] auto text() const -> std::string
    {
        auto line = std::to_string(server.value) + " load " + std::to_string(int(std::lround(load * 100))) + "%";
        line += slowness > 1 ? " slow " + std::to_string(int(std::lround(slowness * 100))) + "%" : "";
        return line + (withoutAffinity ? "" : " prefix");
    }
};

} // namespace

struct server_placement::state
{
    std::map<object_id, server_entry> servers;
    time_point refreshed;
    bool dirty = true;
    double typicalFirstToken = 0; ///< Seconds, middle of the pool.

    auto find(object_id server) -> server_entry *;
    auto refresh(time_point now) -> void;
    auto refreshSlowness() -> void;
    auto refreshPassedOver() -> void;
    auto meanLoad(time_point now) const -> double;
    auto mayTake(const server_entry &entry, const ticket &waiting, time_point now, double queueSeconds) const -> bool;
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
    if (!dirty || (now - refreshed < refreshPeriod && now >= refreshed)) {
        return;
    }
    dirty = false;
    refreshed = now;
    refreshSlowness();
    refreshPassedOver();
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
        // The first token's time depends on the prompt too; it counts where nothing better is known.
        const auto paceKnown = typicalToken > 0 && entry.pace().tokenSeconds() > 0;
        entry.slowness = std::max(1.0, paceKnown ? byToken : byFirstToken);
    }
}

auto server_placement::state::refreshPassedOver() -> void
{
    auto worst = std::vector<server_entry *>();
    for (auto &[id, entry] : servers) {
        entry.passedOver = false;
        if (entry.slowness >= slowLimit) {
            worst.push_back(&entry);
        }
    }
    const auto allowed = std::min(worst.size(), servers.size() / passedOverFraction);
    std::ranges::partial_sort(worst, worst.begin() + std::ptrdiff_t(allowed), std::greater(),
                              [](const server_entry *entry) { return entry->slowness; });
    for (auto index = std::size_t(0); index < allowed; ++index) {
        worst[index]->passedOver = true;
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

auto server_placement::state::mayTake(const server_entry &entry, const ticket &waiting, time_point now,
                                      double queueSeconds) const -> bool
{
    if (entry.freeSlots(now) == 0 || excludes(waiting, entry.contract().id)) {
        return false;
    }
    if (waiting.length == work_length::longWork || !entry.passedOver) {
        return true;
    }
    const auto extraSeconds = typicalFirstToken * (entry.slowness - 1);
    return queueSeconds > extraSeconds || entry.probeDue(now);
}

auto server_placement::state::preferred(std::uint64_t prefix, object_id server) const -> bool
{
    const auto own = rendezvousWeight(prefix, server);
    const auto better = std::ranges::count_if(
        servers, [&](const auto &row) { return row.second.available() && rendezvousWeight(prefix, row.first) > own; });
    return prefix == 0 || std::size_t(better) * preferredFraction < servers.size();
}

auto server_placement::state::score(const server_entry &entry, const ticket &waiting, time_point now, double mean) const
    -> candidate_score
{
    auto made = candidate_score();
    made.server = entry.contract().id;
    made.slowness = entry.slowness >= slowLimit ? entry.slowness : 1;
    if (entry.passedOver && waiting.length == work_length::shortWork && entry.probeDue(now)) {
        made.slowness = 0; // A probe goes first, or it would never be sent while others are free.
    }
    made.load = double(entry.running(now) + 1) / entry.limit();
    const auto room = affinityLoad * mean + 1.0 / entry.limit();
    made.withoutAffinity = waiting.prefixHash == 0 || made.load > room;
    made.affinityOrder = made.withoutAffinity ? 0 : ~rendezvousWeight(waiting.prefixHash, made.server);
    return made;
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
    m_state->dirty = true;
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
    m_state->dirty = true;
    const auto failing = std::ranges::count_if(m_state->servers, [](const auto &row) { return row.second.failing(); });
    const auto allowed = std::max<std::size_t>(m_state->servers.size() / passedOverFraction, 1);
    if (entry->failing() && std::size_t(failing) <= allowed && m_state->servers.size() > 1) {
        entry->rest(now);
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
        if (!m_state->mayTake(entry, waiting, now, queueSeconds)) {
            continue;
        }
        const auto scored = m_state->score(entry, waiting, now, mean);
        if (!best || scored < *best) {
            second = std::exchange(best, scored);
        } else if (!second || scored < *second) {
            second = scored;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    auto &entry = *m_state->find(best->server);
    if (entry.passedOver && waiting.length == work_length::shortWork) {
        entry.noteProbe(now);
    }
    const auto preferred = m_state->preferred(waiting.prefixHash, best->server);
    return placement_choice{ best->server, best->text() + (second ? "; next " + second->text() : ""), preferred };
}

auto server_placement::anyUsable(const ticket &waiting) const -> bool
{
    return std::ranges::any_of(
        m_state->servers, [&](const auto &row) { return row.second.available() && !excludes(waiting, row.first); });
}

auto server_placement::mayServeShort(object_id server, time_point now) -> bool
{
    m_state->refresh(now);
    const auto *entry = m_state->find(server);
    return entry != nullptr && entry->available() && !entry->passedOver;
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
