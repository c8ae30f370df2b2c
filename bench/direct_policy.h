#pragma once

#include "fleet.h"

namespace marjoramloom::bench {

/// Chooses an engine from the numbers of requests that one router has outstanding at each.
template<typename Choice>
concept engine_choice = requires(Choice &choice, std::uint32_t router, const std::vector<std::uint32_t> &outstanding)
{
    {
        choice.pick(router, outstanding)
        } -> std::same_as<std::size_t>;
};

/// Chooses the engines of a service in turn.
class round_robin
{
public:
    auto pick(std::uint32_t router, const std::vector<std::uint32_t> &outstanding) -> std::size_t;

private:
    std::map<std::uint32_t, std::size_t> m_next; ///< By router.
};

/// Chooses the engine with the fewest outstanding requests of the router; ties are broken in turn.
class least_outstanding
{
public:
    auto pick(std::uint32_t router, const std::vector<std::uint32_t> &outstanding) -> std::size_t;

private:
    std::map<std::uint32_t, std::size_t> m_next; ///< By router.
};

/// Baseline without dispatchers: routers send each request to an engine at once, where it waits first in, first out.
/// Not thread safe.
template<engine_choice Choice>
class direct_policy
{
public:
    explicit direct_policy(fleet &simulatedFleet)
        : m_fleet(simulatedFleet)
    {
    }

    auto start() -> void {}

    auto submit(live_request &request) -> void
    {
        const auto service = m_fleet.classOf(request).target;
        auto &outstanding = m_outstanding[{ request.router, service }];
        outstanding.resize(m_fleet.engineCount(service));
        const auto index = m_choices[service].pick(request.router, outstanding);
        ++outstanding[index];
        m_engineIndexByRequest[request.key] = index;
        m_fleet.startAttempt(request, m_fleet.engineNumber(service, index));
    }

    auto onFirstToken(live_request &, attempt_key) -> void {}

    auto onFinished(live_request &request, attempt_key) -> void
    {
        const auto engineIndex = m_engineIndexByRequest.extract(request.key);
        --m_outstanding[{ request.router, m_fleet.classOf(request).target }][engineIndex.mapped()];
    }

private:
    fleet &m_fleet;
    std::map<service_index, Choice> m_choices;
    std::map<std::pair<std::uint32_t, service_index>, std::vector<std::uint32_t>> m_outstanding;
    std::unordered_map<request_key, std::size_t> m_engineIndexByRequest;
};

} // namespace marjoramloom::bench
