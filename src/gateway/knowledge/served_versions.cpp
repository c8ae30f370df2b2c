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

auto served_versions::noteServed(const std::string &service, const std::string &version, time_point now) -> void
{
    m_lastServed[service][version] = now;
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
    const auto found = m_lastServed.find(service);
    return found != m_lastServed.end()
        && std::count_if(found->second.begin(), found->second.end(),
                         [&](const auto &version) { return now - version.second <= m_horizon; })
        > 1;
}

auto served_versions::soleVersion(const std::string &service, time_point now) const -> std::optional<std::uint64_t>
{
    const auto found = m_lastServed.find(service);
    if (!m_isRecordRead || found == m_lastServed.end()) {
        return std::nullopt;
    }
    auto sole = std::optional<std::uint64_t>();
    for (const auto &[name, lastServed] : found->second) {
        if (now - lastServed > m_horizon) {
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
    for (const auto &[service, versions] : m_lastServed) {
        for (const auto &[name, lastServed] : versions) {
            if (now - lastServed <= m_horizon) {
                names[service].insert(name);
            }
        }
    }
    return names;
}

} // namespace marjoramloom
