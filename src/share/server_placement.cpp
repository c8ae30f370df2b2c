#include "marjoramloom/share/server_placement.h"

#include <algorithm>

namespace marjoramloom {

namespace {

constexpr auto sampleWeight = 0.2; ///< Of a new observation in a smoothed value.
constexpr auto failureLimit = std::uint32_t(3); ///< Failures in a row after which a server rests.
constexpr auto rest = duration(std::chrono::seconds(2));

auto smooth(double &value, double sample) -> void
{
    if (sample > 0) {
        value = value > 0 ? value + sampleWeight * (sample - value) : sample;
    }
}

} // namespace

auto server_placement::server_entry::running() const -> std::uint32_t
{
    return runningShort + runningLong + reportedElsewhere;
}

auto server_placement::server_entry::free(time_point now) const -> std::uint32_t
{
    if (state != server_state::available || now < retryAt || running() >= contract.slots) {
        return 0;
    }
    return contract.slots - running();
}

auto server_placement::setServers(const std::vector<backend_server> &servers, time_point) -> void
{
    auto next = std::unordered_map<object_id, server_entry>();
    for (const auto &server : servers) {
        const auto known = m_servers.find(server.id);
        auto entry = known == m_servers.end() ? server_entry() : std::move(known->second);
        entry.contract = server;
        next.emplace(server.id, std::move(entry));
    }
    m_servers = std::move(next);
}

auto server_placement::setState(object_id server, server_state state, time_point) -> void
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        found->second.state = state;
    }
}

auto server_placement::observe(const pace_sample &sample, time_point now) -> void
{
    const auto found = m_servers.find(sample.server);
    if (found == m_servers.end()) {
        return;
    }
    auto &entry = found->second;
    entry.lastSample = now;
    if (sample.failed) {
        ++entry.failures;
        if (entry.failures >= failureLimit) {
            entry.retryAt = now + rest;
        }
        return;
    }
    entry.failures = 0;
    smooth(entry.firstToken, sample.firstTokenSeconds);
    smooth(entry.tokenPace, sample.tokenSeconds);
}

auto server_placement::observe(const load_report &report, time_point) -> void
{
    const auto found = m_servers.find(report.server);
    if (found == m_servers.end()) {
        return;
    }
    auto &entry = found->second;
    const auto own = entry.runningShort + entry.runningLong;
    entry.reportedElsewhere = report.running > own ? report.running - own : 0;
}

auto server_placement::start(object_id server, work_length length) -> void
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        ++(length == work_length::shortWork ? found->second.runningShort : found->second.runningLong);
    }
}

auto server_placement::finish(object_id server, work_length length) -> void
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    auto &running = length == work_length::shortWork ? found->second.runningShort : found->second.runningLong;
    running -= running > 0 ? 1 : 0;
}

auto server_placement::score(const server_entry &entry, const ticket &) const -> double
{
    const auto load = double(entry.running() + 1) / entry.contract.slots;
    const auto pace = entry.firstToken > 0 ? entry.firstToken : 1;
    return load * pace;
}

auto server_placement::choose(const ticket &waiting, time_point now) -> std::optional<placement_choice>
{
    const server_entry *best = nullptr;
    auto bestScore = 0.0;
    for (const auto &[id, entry] : m_servers) {
        if (entry.free(now) == 0 || std::ranges::find(waiting.excluded, id) != waiting.excluded.end()) {
            continue;
        }
        const auto candidate = score(entry, waiting);
        if (best == nullptr || candidate < bestScore || (candidate == bestScore && id < best->contract.id)) {
            best = &entry;
            bestScore = candidate;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return placement_choice{ best->contract.id, "score " + std::to_string(bestScore) };
}

auto server_placement::anyUsable(const ticket &waiting) const -> bool
{
    return std::ranges::any_of(m_servers, [&](const auto &row) {
        return row.second.state == server_state::available
            && std::ranges::find(waiting.excluded, row.first) == waiting.excluded.end();
    });
}

auto server_placement::freeSlots(time_point now) const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[id, entry] : m_servers) {
        sum += entry.free(now);
    }
    return sum;
}

auto server_placement::totalSlots(time_point) const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[id, entry] : m_servers) {
        sum += entry.state == server_state::available ? entry.contract.slots : 0;
    }
    return sum;
}

} // namespace marjoramloom
