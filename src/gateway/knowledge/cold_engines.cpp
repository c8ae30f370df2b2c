#include "marjoramloom/gateway/knowledge/cold_engines.h"

#include "marjoramloom/gateway/knowledge/server_loads.h"

#include <algorithm>

namespace marjoramloom {

auto cold_engines::noteEntry(const listed_server &server, std::uint64_t revision, entry_source source, time_point now)
    -> bool
{
    const auto incarnation = server_loads::incarnationId(server);
    auto &known = m_incarnations[server.id];
    if (known != incarnation) {
        m_records.erase(known);
        known = incarnation;
    }
    const auto [found, isNew] = m_records.try_emplace(incarnation);
    auto &entry = found->second;
    const auto left = duration(server.remainingWarmUp);
    if (isNew && source == entry_source::change && left > duration::zero()) {
        entry.unknownSince = now;
        m_maybeColdUntil = std::max(m_maybeColdUntil, now + MAX_COLD_TIME);
        state(entry, left, now);
        return true;
    }
    if (entry.unknownSince && revision <= entry.validFrom) {
        return false; // Written before the evacuation ended.
    }
    entry.unknownSince.reset();
    return state(entry, left, now);
}

auto cold_engines::noteAnswer(const cold_statement &statement, time_point now) -> bool
{
    const auto found = m_records.find(statement.server);
    if (found == m_records.end()) {
        return false;
    }
    found->second.unknownSince.reset();
    found->second.answeredAt = now;
    return state(found->second, statement.left, now);
}

auto cold_engines::noteReported(const cold_statement &statement, time_point now) -> bool
{
    const auto found = m_records.find(statement.server);
    if (found == m_records.end() || now + statement.left <= found->second.coldUntil) {
        return false;
    }
    return state(found->second, statement.left, now);
}

auto cold_engines::noteReturned(std::span<const std::uint64_t> servers, std::uint64_t revision, time_point now) -> void
{
    for (const auto server : servers) {
        auto &entry = m_records[server];
        entry.unknownSince = now;
        entry.validFrom = revision;
    }
    m_maybeColdUntil = std::max(m_maybeColdUntil, now + MAX_COLD_TIME);
}

auto cold_engines::remaining(std::uint64_t server, duration coldTime, time_point now) const -> duration
{
    if (!mayBeCold(now)) {
        return duration::zero();
    }
    const auto found = m_records.find(server);
    if (found == m_records.end()) {
        return duration::zero();
    }
    auto until = found->second.coldUntil;
    if (found->second.unknownSince) {
        until = std::max(until, *found->second.unknownSince + std::min(coldTime, MAX_COLD_TIME));
    }
    return std::max<duration>(until - now, duration::zero());
}

auto cold_engines::forget(const listed_server &server) -> void
{
    const auto incarnation = server_loads::incarnationId(server);
    const auto found = m_incarnations.find(server.id);
    if (found != m_incarnations.end() && found->second == incarnation) {
        m_incarnations.erase(found);
    }
    m_records.erase(incarnation);
}

auto cold_engines::mayBeCold(time_point now) const -> bool
{
    return now < m_maybeColdUntil;
}

auto cold_engines::recentStatements(std::size_t limit, time_point now) const -> std::vector<cold_statement>
{
    auto statements = std::vector<cold_statement>();
    if (!mayBeCold(now)) {
        return statements;
    }
    for (const auto &[server, entry] : m_records) {
        const auto isRecent = entry.answeredAt && now - *entry.answeredAt <= REPORT_TIME;
        if (isRecent && entry.coldUntil > now && statements.size() < limit) {
            statements.push_back({ .server = server, .left = entry.coldUntil - now });
        }
    }
    return statements;
}

auto cold_engines::statedCold(time_point now) const -> std::size_t
{
    if (!mayBeCold(now)) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
                                                  [now](const auto &entry) { return entry.second.coldUntil > now; }));
}

/// Sets how much longer the server is cold. Returns whether it has turned cold.
auto cold_engines::state(record &entry, duration left, time_point now) -> bool
{
    const auto until = now + std::min(left, MAX_COLD_TIME);
    const auto hasTurned = left > duration::zero() && until > entry.coldUntil + STATEMENT_TOLERANCE;
    entry.coldUntil = left > duration::zero() ? until : time_point();
    if (left > duration::zero()) {
        m_maybeColdUntil = std::max(m_maybeColdUntil, until);
    }
    return hasTurned;
}

} // namespace marjoramloom
