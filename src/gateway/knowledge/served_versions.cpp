#include "marjoramloom/gateway/knowledge/served_versions.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

auto softwareVersionId(const std::string &name) -> std::uint64_t
{
    return std::max<std::uint64_t>(hash64(name), 1);
}

auto served_versions::setHorizon(duration horizon) -> void
{
    m_horizon = horizon;
}

auto served_versions::horizon() const -> duration
{
    return m_horizon;
}

auto served_versions::noteServed(const std::string &service, const std::string &version, source from, time_point now)
    -> void
{
    const auto [known, isAdded] = m_served[service].try_emplace(version, served_span{ now, now, from });
    auto &span = known->second;
    if (!isAdded && !counts(span, now)) {
        span.first = now;
        span.from = from;
    }
    span.last = now;
    span.from = from == source::record ? from : span.from;
}

auto served_versions::counts(const served_span &span, time_point now) const -> bool
{
    return now - span.last <= m_horizon;
}

auto served_versions::noteRecordRead() -> void
{
    m_isRecordRead = true;
}

auto served_versions::isRecordRead() const -> bool
{
    return m_isRecordRead;
}

auto served_versions::isMixed(const std::string &service, time_point now) const -> bool
{
    const auto found = m_served.find(service);
    return found != m_served.end()
        && std::count_if(found->second.begin(), found->second.end(),
                         [&](const auto &version) { return counts(version.second, now); })
        > 1;
}

auto served_versions::isNew(const std::string &service, const std::string &version, time_point now) const -> bool
{
    const auto found = m_served.find(service);
    if (found == m_served.end()) {
        return false;
    }
    const auto known = found->second.find(version);
    const auto span = known == found->second.end() ? served_span{ now, now, source::laterList } : known->second;
    if (span.from == source::record || now - span.first >= LAUNCH_DELAY) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto &other) {
        const auto &[name, earlier] = other;
        const auto isEarlier = earlier.from == source::record
            || (span.from == source::laterList && (earlier.from == source::firstList || earlier.first < span.first));
        return name != version && counts(earlier, now) && isEarlier;
    });
}

auto served_versions::soleVersion(const std::string &service, time_point now) const -> std::optional<std::uint64_t>
{
    const auto found = m_served.find(service);
    if (!m_isRecordRead || found == m_served.end()) {
        return std::nullopt;
    }
    auto sole = std::optional<std::uint64_t>();
    for (const auto &[name, span] : found->second) {
        if (!counts(span, now)) {
            continue;
        }
        if (sole) {
            return std::nullopt;
        }
        sole = softwareVersionId(name);
    }
    return sole;
}

auto served_versions::recent(time_point now) const -> version_names
{
    auto names = version_names();
    for (const auto &[service, versions] : m_served) {
        for (const auto &[name, span] : versions) {
            if (counts(span, now)) {
                names[service].insert(name);
            }
        }
    }
    return names;
}

} // namespace marjoramloom
