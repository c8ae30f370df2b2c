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

/// One router's part in the configuration, on a shared platform.
struct router_part
{
    explicit router_part(memory_store &platform)
        : store(counters)
        , watcher(platform, store, 1)
        , changes(platform, store, watcher, commitLimit)
        , compactor(platform, store, { .changesPerSnapshot = 4, .changesKept = 1 })
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

struct log_fixture
{
    memory_store platform;
    router_part first{ platform };
    router_part second{ platform };

    /// Commits changes up to \p last by the first router.
    auto fill(std::uint64_t last) -> void
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

BOOST_AUTO_TEST_CASE(of_two_operators_one_is_told_what_the_other_changed)
{
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::accepted));
    const auto other = second.propose("b", 0, "slow");
    BOOST_TEST((other.result == commit_result::conflict));
    BOOST_TEST(other.sequence == 1U);
    BOOST_TEST_REQUIRE(other.others.size() == 1U);
    BOOST_TEST(other.others.front().author == "ayele");
    BOOST_TEST(other.others.front().objects.front() == "put profile/quick");
    BOOST_TEST((second.propose("b", 1, "slow").result == commit_result::accepted));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_the_changes_own_id)
{
    platform.faults = { write_fault::answerLost };
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::accepted));
    BOOST_TEST((second.propose("a", 0, "quick").result == commit_result::accepted));
    BOOST_TEST(platform.count(changeKind) == 1U);
}

BOOST_AUTO_TEST_CASE(what_may_land_late_is_told_as_unknown_and_a_repeat_settles_it)
{
    platform.faults = std::deque<write_fault>(1000, write_fault::late);
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::unknown));
    platform.faults.clear();
    platform.landLate();
    BOOST_TEST((first.propose("a", 0, "quick").result == commit_result::accepted));
    platform.down = true;
    BOOST_TEST((first.propose("b", 1, "slow").result == commit_result::refused));
}

BOOST_AUTO_TEST_CASE(the_whole_resulting_set_is_checked)
{
    auto orphan = service();
    orphan.name = "desk";
    orphan.profile = "missing";
    auto proposal = proposed_change{ .id = "a", .author = "ayele", .baseSequence = 0, .operations = {} };
    proposal.operations.push_back({ operation_kind::put, object_kind::service, "desk", orphan });
    auto why = last_reason();
    const auto outcome = runCoroutine(first.changes.commit(proposal, why));
    BOOST_TEST((outcome.result == commit_result::invalid));
    BOOST_TEST_REQUIRE(outcome.problems.size() == 1U);
    BOOST_TEST(outcome.problems.front().message() == "service/desk: profile: there is no profile 'missing'");
    BOOST_TEST(platform.count(changeKind) == 0U);
}

BOOST_AUTO_TEST_CASE(a_cold_start_reads_a_snapshot_and_the_changes_after_it)
{
    fill(6);
    BOOST_TEST(compact());
    fill(8);
    BOOST_TEST(platform.count(changeKind) == 3U);
    BOOST_TEST(second.refresh());
    BOOST_TEST(second.store.sequence() == 8U);
    BOOST_TEST((second.store.read()->profiles.at("p2").id == first.store.read()->profiles.at("p2").id));
    fill(12);
    BOOST_TEST(compact());
    BOOST_TEST(platform.count(snapshotChunkKind) == 1U);
    BOOST_TEST(second.refresh());
    BOOST_TEST(second.store.sequence() == 12U);
}

BOOST_AUTO_TEST_CASE(a_create_where_a_change_was_compacted_away_is_no_commit)
{
    fill(1);
    BOOST_TEST(second.refresh());
    fill(8);
    BOOST_TEST(compact());
    // The second router still works by change 1 and finds the name of change 2 free.
    BOOST_TEST(platform.current(changeKind, changeName(2)).revision == 0U);
    const auto outcome = second.propose("stray", 1, "stray");
    BOOST_TEST((outcome.result == commit_result::conflict));
    BOOST_TEST(second.store.sequence() == 8U);
    BOOST_TEST(!second.store.read()->profiles.contains("stray"));
}

BOOST_AUTO_TEST_CASE(a_paused_watcher_does_not_follow_a_stray_change)
{
    fill(1);
    auto third = router_part(platform);
    BOOST_TEST(third.refresh());
    BOOST_TEST(second.refresh());
    fill(8);
    BOOST_TEST(compact());
    second.propose("stray", 1, "stray");
    BOOST_TEST(third.refresh());
    BOOST_TEST(third.store.sequence() == 8U);
    BOOST_TEST(!third.store.read()->profiles.contains("stray"));
}

BOOST_AUTO_TEST_CASE(the_api_answers_operators)
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
