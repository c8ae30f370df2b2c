#pragma once

#include "fleet.h"

namespace marjoramloom::bench {

/// How a router on its own picks an engine, for requests that it sends on at once.
template<typename Choice>
concept engine_choice = requires(Choice &choice, std::uint32_t router, const std::vector<std::uint32_t> &outstanding)
{
    {
        choice.pick(router, outstanding)
        } -> std::same_as<std::size_t>;
};

/// Engines in turn.
class round_robin
{
public:
    auto pick(std::uint32_t router, const std::vector<std::uint32_t> &outstanding) -> std::size_t;

private:
    std::map<std::uint32_t, std::size_t> m_next; ///< By router.
};

/// The engine with the fewest requests of this router; in turn among equals.
class least_outstanding
{
public:
    auto pick(std::uint32_t router, const std::vector<std::uint32_t> &outstanding) -> std::size_t;

private:
    std::map<std::uint32_t, std::size_t> m_next; ///< By router.
};

/// Routers send each request to an engine at once; engines serve first come, first served. Not thread safe.
template<engine_choice Choice>
class direct_policy
{
public:
    explicit direct_policy(fleet &where)
        : m_fleet(where)
    {
    }

    auto start() -> void {}

    auto submit(live_request &asked) -> void
    {
        const auto service = m_fleet.classOf(asked).target;
        auto &outstanding = m_outstanding[{ asked.router, service }];
        outstanding.resize(m_fleet.engineCount(service));
        const auto index = m_choices[service].pick(asked.router, outstanding);
        ++outstanding[index];
        m_chosen[asked.key] = index;
        m_fleet.place(asked, m_fleet.engineNumber(service, index));
    }

    auto onFirstToken(live_request &, place_key) -> void {}

    auto onFinished(live_request &done, place_key) -> void
    {
        const auto chosen = m_chosen.extract(done.key);
        --m_outstanding[{ done.router, m_fleet.classOf(done).target }][chosen.mapped()];
    }

private:
    fleet &m_fleet;
    std::map<service_index, Choice> m_choices;
    std::map<std::pair<std::uint32_t, service_index>, std::vector<std::uint32_t>> m_outstanding;
    std::unordered_map<request_key, std::size_t> m_chosen;
};

} // namespace marjoramloom::bench
