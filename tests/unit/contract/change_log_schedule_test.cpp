#include "marjoramloom/contract/change_log.h"

#include "marjoramloom/contract/configuration_compactor.h"
#include "support/memory_store.h"
#include "support/run_coroutine.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace marjoramloom;

namespace {

constexpr auto routers = std::size_t(4);
constexpr auto stepsPerSeed = 150;
constexpr auto seeds = 60;

/// The configuration components of one router. A restart replaces them by new ones.
struct router_configuration
{
    explicit router_configuration(memory_store &platform)
        : store(counters)
        , watcher(platform, store, 1)
        , changes(platform, store, watcher, std::chrono::milliseconds(0))
        , compactor(platform, store, { .changesPerSnapshot = 5, .changesRetained = 1 })
    {
    }

    counter_registry counters;
    configuration_store store;
    configuration_watcher<memory_store> watcher;
    change_log<memory_store> changes;
    configuration_compactor<memory_store> compactor;
};

/// Runs a random sequence of proposals, refreshes, restarts, compactions and platform faults. Checks the invariants
/// after each step.
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed)
        : m_random(seed)
    {
        for (auto index = std::size_t(0); index < routers; ++index) {
            m_routers.push_back(std::make_unique<router_configuration>(m_platform));
            m_highestSequences.push_back(0);
        }
    }

    /// Returns a description of the first violation; empty if there is none.
    auto run() -> std::string
    {
        for (auto step = 0; step < stepsPerSeed; ++step) {
            runStep(pick(routers));
            const auto violation = checkInvariants();
            if (!violation.empty()) {
                return "step " + std::to_string(step) + ": " + violation;
            }
        }
        return checkConvergence();
    }

    [[nodiscard]] auto acceptedCount() const -> std::size_t
    {
        return m_accepted.size();
    }

private:
    auto pick(std::size_t count) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    auto runStep(std::size_t index) -> void
    {
        auto why = last_reason();
        auto &router = *m_routers[index];
        switch (pick(9)) {
        case 0:
            m_platform.down = pick(4) == 0;
            m_platform.readLagWrites = pick(3) == 0 ? pick(6) : 0;
            break;
        case 1:
            m_platform.faults = { static_cast<write_fault>(pick(5)), static_cast<write_fault>(pick(5)) };
            break;
        case 2:
            m_platform.applyLateWrites();
            break;
        case 3:
            runCoroutine(router.compactor.compact(why));
            break;
        case 4:
            m_routers[index] = std::make_unique<router_configuration>(m_platform);
            m_highestSequences[index] = 0;
            break;
        case 5:
        case 6:
            runCoroutine(router.watcher.refresh(why));
            break;
        default:
            propose(router);
        }
    }

    auto propose(router_configuration &router) -> void
    {
        const auto current = router.store.read();
        auto proposal = proposed_change{ .id = "id-" + std::to_string(++m_proposals),
                                         .author = "ayele",
                                         .baseSequence = current->sequence,
                                         .operations = {} };
        auto object = profile();
        object.name = "p" + std::to_string(m_proposals);
        proposal.operations.push_back({ operation_kind::put, object_kind::profile, object.name, object });
        auto removed = std::string();
        if (!current->profiles.empty() && pick(2) == 0) {
            removed = std::next(current->profiles.begin(), static_cast<long>(pick(current->profiles.size())))->first;
            proposal.operations.push_back({ operation_kind::remove, object_kind::profile, removed, {} });
        }
        auto why = last_reason();
        const auto outcome = runCoroutine(router.changes.commit(std::move(proposal), why));
        if (outcome.result == commit_result::accepted) {
            m_sequenceAcceptedTwice = m_sequenceAcceptedTwice || m_accepted.contains(outcome.sequence);
            m_accepted[outcome.sequence] = { object.name, removed };
        } else if (outcome.result != commit_result::unknown) {
            m_notAccepted.insert(object.name);
        }
    }

    auto checkInvariants() -> std::string
    {
        for (auto index = std::size_t(0); index < routers; ++index) {
            const auto current = m_routers[index]->store.read();
            if (current->sequence < m_highestSequences[index]) {
                return "the sequence of a router decreased";
            }
            m_highestSequences[index] = current->sequence;
            const auto text = boost::json::serialize(toJson(*current));
            const auto [entry, inserted] = m_contentsBySequence.emplace(current->sequence, text);
            if (!inserted && entry->second != text) {
                return "two routers differ at sequence " + std::to_string(current->sequence);
            }
            const auto violation = checkContents(*current);
            if (!violation.empty()) {
                return violation;
            }
        }
        return m_sequenceAcceptedTwice ? "two changes were accepted as one sequence" : "";
    }

    auto checkContents(const configuration &current) const -> std::string
    {
        for (const auto &name : m_notAccepted) {
            if (current.profiles.contains(name)) {
                return name + " was reported as not accepted and is active";
            }
        }
        auto removed = std::set<std::string>();
        for (const auto &[sequence, names] : m_accepted) {
            if (sequence <= current.sequence) {
                removed.insert(names.second);
            }
        }
        for (const auto &[sequence, names] : m_accepted) {
            const auto isApplied = sequence <= current.sequence;
            if (isApplied && removed.contains(names.second) && current.profiles.contains(names.second)) {
                return names.second + " exists again after its deletion";
            }
            if (isApplied && current.profiles.contains(names.first)) {
                continue;
            }
            if (isApplied && !removed.contains(names.first) && !mayBeDeletedByUnknownOutcome(names.first, current)) {
                return names.first + " was accepted and is not active";
            }
        }
        return {};
    }

    /// Whether a proposal with an unknown outcome may have deleted the object: no later configuration contains it then.
    auto mayBeDeletedByUnknownOutcome(const std::string &name, const configuration &current) const -> bool
    {
        for (const auto &[sequence, text] : m_contentsBySequence) {
            const auto later = sequence > current.sequence;
            if (later && text.find("\"" + name + "\"") != std::string::npos) {
                return false;
            }
        }
        return true;
    }

    /// Checks that all routers reach the same sequence, not below any accepted one, once there are no faults.
    auto checkConvergence() -> std::string
    {
        m_platform.applyLateWrites();
        m_platform.down = false;
        m_platform.readLagWrites = 0;
        m_platform.faults.clear();
        auto why = last_reason();
        for (auto &router : m_routers) {
            if (!runCoroutine(router->watcher.refresh(why))) {
                return "a refresh failed without faults: " + why.text();
            }
            const auto last = m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
            if (router->store.sequence() < last || router->store.sequence() != m_routers.front()->store.sequence()) {
                return "a router is behind without faults";
            }
        }
        return checkInvariants();
    }

    std::mt19937_64 m_random;
    memory_store m_platform;
    std::vector<std::unique_ptr<router_configuration>> m_routers;
    std::vector<std::uint64_t> m_highestSequences;
    std::uint64_t m_proposals = 0;
    bool m_sequenceAcceptedTwice = false;
    std::map<std::uint64_t, std::pair<std::string, std::string>> m_accepted; ///< Names created and deleted.
    std::set<std::string> m_notAccepted; ///< Objects of proposals with any other known outcome.
    std::map<std::uint64_t, std::string> m_contentsBySequence; ///< As first seen on any router.
};

} // namespace

BOOST_AUTO_TEST_SUITE(change_log_schedule_test)

// Guards against lost, reverted or duplicate commits under concurrent proposals, restarts, compactions and faults.
BOOST_AUTO_TEST_CASE(accepted_changes_persist_and_routers_agree_under_random_schedules)
{
    auto accepted = std::size_t(0);
    for (auto seed = 1; seed <= seeds; ++seed) {
        auto schedule = random_schedule(static_cast<std::uint64_t>(seed));
        const auto violation = schedule.run();
        BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
        accepted += schedule.acceptedCount();
    }
    BOOST_TEST_MESSAGE(seeds << " seeds, " << accepted << " accepted changes");
    BOOST_TEST(accepted > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
