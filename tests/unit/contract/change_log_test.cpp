#include "marjoramloom/contract/change_log.h"

#include "marjoramloom/contract/configuration_compactor.h"
#include "marjoramloom/contract/operator_api.h"
#include "support/memory_store.h"
#include "support/run_coroutine.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

constexpr auto commitLimit = std::chrono::milliseconds(50);

/// The configuration components of one router; the platform is shared between routers.
struct router_configuration
{
    explicit router_configuration(memory_store &platform)
        : store(counters)
        , watcher(platform, store, 1)
        , changes(platform, store, watcher, commitLimit)
        , compactor(platform, store, { .changesPerSnapshot = 4, .changesRetained = 1 })
    {
    }

    auto refresh() -> bool
    {
        auto why = last_reason();
        return runCoroutine(watcher.refresh(why));
    }

    auto propose(std::string id, std::uint64_t base, const std::string &name) -> commit_outcome
    {
        auto object = profile();
        object.name = name;
        auto proposal =
            proposed_change{ .id = std::move(id), .author = "ayele", .baseSequence = base, .operations = {} };
        proposal.operations.push_back({ operation_kind::put, object_kind::profile, name, object });
        auto why = last_reason();
        return runCoroutine(changes.commit(std::move(proposal), why));
    }

    counter_registry counters;
    configuration_store store;
    configuration_watcher<memory_store> watcher;
    change_log<memory_store> changes;
    configuration_compactor<memory_store> compactor;
};

/// Two routers on one platform.
struct log_fixture
{
    memory_store platform;
    router_configuration first{ platform };
    router_configuration second{ platform };

    /// Commits changes up to sequence \p last through the first router.
    auto commitUpTo(std::uint64_t last) -> void
    {
        for (auto base = first.store.sequence(); base < last; ++base) {
            first.propose("fill-" + std::to_string(base), base, "p" + std::to_string(base + 1));
        }
    }

    auto compact() -> bool
    {
        auto why = last_reason();
        return runCoroutine(first.compactor.compact(why));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(change_log_test, log_fixture)

BOOST_AUTO_TEST_CASE(a_conflict_reports_the_concurrent_changes)
{
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::accepted));
    const auto other = second.propose("b", 0, "slow");
    BOOST_TEST((other.result == commit_result::conflict));
    BOOST_TEST(other.sequence == 1U);
    BOOST_TEST_REQUIRE(other.concurrentChanges.size() == 1U);
    BOOST_TEST(other.concurrentChanges.front().author == "ayele");
    BOOST_TEST(other.concurrentChanges.front().objects.front() == "put profile/quick");
    BOOST_TEST((second.propose("b", 1, "slow").result == commit_result::accepted));
}

BOOST_AUTO_TEST_CASE(a_retry_after_a_lost_answer_does_not_commit_twice)
{
    platform.faults = { write_fault::answerLost };
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::accepted));
    BOOST_TEST((second.propose("a", 0, "quick").result == commit_result::accepted));
    BOOST_TEST(platform.count(changeKind) == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_that_may_be_applied_later_has_an_unknown_outcome_until_retried)
{
    platform.faults = std::deque<write_fault>(1000, write_fault::late);
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::unknown));
    platform.faults.clear();
    platform.applyLateWrites();
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::accepted));
    platform.down = true;
    BOOST_TEST((first.propose("b", 1, "slow").result == commit_result::refused));
}

BOOST_AUTO_TEST_CASE(a_change_that_leads_to_an_invalid_configuration_is_not_written)
{
    auto missingProfile = service();
    missingProfile.name = "desk";
    missingProfile.profile = "missing";
    auto proposal = proposed_change{ .id = "a", .author = "ayele", .baseSequence = 0, .operations = {} };
    proposal.operations.push_back({ operation_kind::put, object_kind::service, "desk", missingProfile });
    auto why = last_reason();
    const auto outcome = runCoroutine(first.changes.commit(proposal, why));
    BOOST_TEST((outcome.result == commit_result::invalid));
    BOOST_TEST_REQUIRE(outcome.problems.size() == 1U);
    BOOST_TEST(outcome.problems.front().message() == "service/desk: profile: there is no profile 'missing'");
    BOOST_TEST(platform.count(changeKind) == 0U);
}

BOOST_AUTO_TEST_CASE(a_cold_start_reads_the_snapshot_and_later_changes)
{
    commitUpTo(6);
    BOOST_TEST(compact());
    commitUpTo(8);
    BOOST_TEST(platform.count(changeKind) == 3U);
    BOOST_TEST(second.refresh());
    BOOST_TEST(second.store.sequence() == 8U);
    BOOST_TEST((second.store.read()->profiles.at("p2").id == first.store.read()->profiles.at("p2").id));
    commitUpTo(12);
    BOOST_TEST(compact());
    BOOST_TEST(platform.count(snapshotChunkKind) == 1U);
    BOOST_TEST(second.refresh());
    BOOST_TEST(second.store.sequence() == 12U);
}

BOOST_AUTO_TEST_CASE(a_create_under_the_name_of_a_compacted_change_is_not_a_commit)
{
    commitUpTo(1);
    BOOST_TEST(second.refresh());
    commitUpTo(8);
    BOOST_TEST(compact());
    // The second router is still at change 1. The name of change 2 is free, as compaction has deleted that change.
    BOOST_TEST(platform.current(changeKind, changeName(2)).revision == 0U);
    const auto outcome = second.propose("stray", 1, "stray");
    BOOST_TEST((outcome.result == commit_result::conflict));
    BOOST_TEST(second.store.sequence() == 8U);
    BOOST_TEST(!second.store.read()->profiles.contains("stray"));
}

BOOST_AUTO_TEST_CASE(a_watcher_that_lags_ignores_changes_below_the_snapshot_floor)
{
    commitUpTo(1);
    auto third = router_configuration(platform);
    BOOST_TEST(third.refresh());
    BOOST_TEST(second.refresh());
    commitUpTo(8);
    BOOST_TEST(compact());
    second.propose("stray", 1, "stray");
    BOOST_TEST(third.refresh());
    BOOST_TEST(third.store.sequence() == 8U);
    BOOST_TEST(!third.store.read()->profiles.contains("stray"));
}

BOOST_AUTO_TEST_CASE(the_api_accepts_changes_and_rejects_malformed_ones)
{
    auto api = operator_api<memory_store>(first.store, first.changes);
    const auto body =
        std::string(R"({"id":"a","author":"ayele","base_sequence":0,"operations":[)"
                    R"({"operation":"put","kind":"profile","object":{"name":"quick","max_wait_ms":5000}}]})");
    BOOST_TEST(runCoroutine(api.handle("POST", "/v1/changes", body)).status == 200U);
    const auto all = runCoroutine(api.handle("GET", "/v1/configuration", ""));
    BOOST_TEST(all.body.at("sequence").to_number<int>() == 1);
    BOOST_TEST(all.body.at("profile").at(0).at("max_wait_ms").to_number<int>() == 5000);
    BOOST_TEST(runCoroutine(api.handle("POST", "/v1/changes", "{")).status == 422U);
    const auto misspelt =
        std::string(R"({"id":"b","author":"ayele","base_sequence":1,"operations":[)"
                    R"({"operation":"put","kind":"profile","object":{"name":"quick","max_wait":5}}]})");
    const auto refused = runCoroutine(api.handle("POST", "/v1/changes", misspelt));
    BOOST_TEST(refused.status == 422U);
    BOOST_TEST(refused.body.at("problems").at(0).at("key").as_string() == "max_wait");
    BOOST_TEST(runCoroutine(api.handle("GET", "/v1/nothing", "")).status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
