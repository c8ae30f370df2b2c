#include "marjoramloom/gateway/knowledge/route_table.h"

#include "marjoramloom/gateway/decisions/account_usage.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace marjoramloom {

namespace {

auto normalizedHost(std::string_view host) -> std::string
{
    auto name = std::string(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return name;
}

} // namespace

route_table::route_table(route_table_content content)
    : m_content(std::move(content))
{
    for (auto index = std::size_t(0); index < m_content.routes.size(); ++index) {
        const auto &route = m_content.routes[index];
        if (route.resumable) {
            m_longestStream = std::max(m_longestStream, route.timeout);
        }
        m_routesByHost[normalizedHost(route.host)].emplace(route.pathPrefix, index);
        if (route.carriesPrompt) {
            continue;
        }
        for (const auto &target : route.targets) {
            auto &shortest = m_shortestObjectives.try_emplace(target.service, route.latencyObjective).first->second;
            shortest = std::min(shortest, route.latencyObjective);
        }
    }
    for (auto index = std::size_t(0); index < m_content.services.size(); ++index) {
        m_serviceIndexes.emplace(m_content.services[index].name, index);
    }
    for (const auto &[key, account] : m_content.accountsByKey) {
        m_accountNames.emplace(account_usage::accountId(account.name), account.name);
        if (!account.homeRegions.empty()) {
            m_regionsByAccount.emplace(account.name, account.homeRegions);
        }
    }
}

auto route_table::version() const -> std::uint64_t
{
    return m_content.version;
}

auto route_table::findRoute(std::string_view host, std::string_view path) const -> const route_rule *
{
    const auto routes = m_routesByHost.find(normalizedHost(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    // Every route prefix ends with a slash, so only the path up to one of its slashes can match.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return &m_content.routes[found->second];
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

auto route_table::findRouteByName(std::string_view name) const -> const route_rule *
{
    const auto found = std::find_if(m_content.routes.begin(), m_content.routes.end(),
                                    [&](const auto &route) { return route.name == name; });
    return found == m_content.routes.end() ? nullptr : &*found;
}

auto route_table::findRouteTo(std::string_view name) const -> const route_rule *
{
    const auto leadsThere = [&](const route_rule &route) {
        return std::any_of(route.targets.begin(), route.targets.end(),
                           [&](const auto &target) { return target.service == name; });
    };
    const auto found = std::find_if(m_content.routes.begin(), m_content.routes.end(), leadsThere);
    return found == m_content.routes.end() ? nullptr : &*found;
}

auto route_table::hasAccount(std::string_view name) const -> bool
{
    return std::any_of(m_content.accountsByKey.begin(), m_content.accountsByKey.end(),
                       [&](const auto &entry) { return entry.second.name == name; });
}

auto route_table::longestStream() const -> std::chrono::milliseconds
{
    return m_longestStream;
}

auto route_table::accountName(std::uint64_t account) const -> std::string_view
{
    const auto found = m_accountNames.find(account);
    return found == m_accountNames.end() ? std::string_view() : found->second;
}

auto route_table::findAccount(const std::string &key) const -> const routed_account *
{
    const auto found = m_content.accountsByKey.find(key);
    return found == m_content.accountsByKey.end() ? nullptr : &found->second;
}

auto route_table::regionsOf(const route_rule &route, const std::string &account) const -> std::optional<region_set>
{
    const auto found = m_regionsByAccount.find(account);
    if (found == m_regionsByAccount.end()) {
        return route.homeRegions.empty() ? std::nullopt : std::optional(route.homeRegions);
    }
    if (route.homeRegions.empty()) {
        return found->second;
    }
    auto common = region_set();
    std::set_intersection(route.homeRegions.begin(), route.homeRegions.end(), found->second.begin(),
                          found->second.end(), std::inserter(common, common.end()));
    return common;
}

auto route_table::shortestObjective(const std::string &service) const -> std::optional<std::chrono::milliseconds>
{
    const auto found = m_shortestObjectives.find(service);
    return found == m_shortestObjectives.end() ? std::nullopt : std::optional(found->second);
}

auto route_table::findService(const std::string &name) const -> const routed_service *
{
    const auto found = m_serviceIndexes.find(name);
    return found == m_serviceIndexes.end() ? nullptr : &m_content.services[found->second];
}

auto route_table::services() const -> const std::vector<routed_service> &
{
    return m_content.services;
}

auto route_table::limits() const -> const caller_limits &
{
    return m_content.limits;
}

auto route_table::tokensPerSecond() const -> double
{
    return m_content.tokensPerSecond;
}

auto route_table::routeCount() const -> std::size_t
{
    return m_content.routes.size();
}

auto route_table::keyCount() const -> std::size_t
{
    return m_content.accountsByKey.size();
}

} // namespace marjoramloom
