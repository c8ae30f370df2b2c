#include "marjoramloom/contract/configuration_store.h"

#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/contract/configuration_watcher.h"
#include "support/memory_store.h"
#include "support/run_coroutine.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto putProfile(const std::string &name) -> configuration_operation
{
    auto object = profile();
    object.name = name;
    return { .operation = operation_kind::put, .kind = object_kind::profile, .name = name, .object = object };
}

auto removeProfile(const std::string &name) -> configuration_operation
{
    return { .operation = operation_kind::remove, .kind = object_kind::profile, .name = name, .object = {} };
}

auto changeText(std::uint64_t sequence, std::vector<configuration_operation> operations) -> std::string
{
    return changeToText({ .sequence = sequence,
                          .id = "change-" + std::to_string(sequence),
                          .author = "ayele",
                          .unixMs = 0,
                          .operations = std::move(operations) });
}

/// A store and helpers that offer changes to it.
struct store_fixture
{
    counter_registry counters;
    configuration_store store{ counters };

    auto offer(std::uint64_t sequence, std::vector<configuration_operation> operations) -> offer_result
    {
        return store.offer(sequence, changeText(sequence, std::move(operations)), change_source::platform);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_store_test, store_fixture)

BOOST_AUTO_TEST_CASE(changes_apply_strictly_in_sequence)
{
    BOOST_TEST((offer(2, { putProfile("late") }) == offer_result::gap));
    BOOST_TEST((offer(1, { putProfile("quick") }) == offer_result::applied));
    BOOST_TEST((offer(1, { putProfile("other") }) == offer_result::alreadyApplied));
    BOOST_TEST(store.read()->profiles.size() == 1U);
    BOOST_TEST(store.sequence() == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_change_from_a_peer_does_not_restore_a_deleted_object)
{
    offer(1, { putProfile("quick") });
    const auto first = store.read()->profiles.at("quick").id;
    offer(2, { removeProfile("quick") });
    const auto older = store.changesAfter(0, 1).front();
    BOOST_TEST((store.offer(older.sequence, older.value, change_source::peer) == offer_result::alreadyApplied));
    BOOST_TEST(store.read()->profiles.empty());
    offer(3, { putProfile("quick") });
    BOOST_TEST((store.read()->profiles.at("quick").id > first));
}

BOOST_AUTO_TEST_CASE(a_malformed_or_invalid_change_is_skipped_as_a_whole)
{
    offer(1, { putProfile("quick") });
    BOOST_TEST((store.offer(2, "{ not json", change_source::platform) == offer_result::applied));
    auto missingProfile = service();
    missingProfile.name = "desk";
    missingProfile.profile = "none";
    offer(3, { putProfile("kept-out"), { operation_kind::put, object_kind::service, "desk", missingProfile } });
    BOOST_TEST(store.sequence() == 3U);
    BOOST_TEST(store.read()->profiles.size() == 1U);
    BOOST_TEST(counters.at("marjoramloom_configuration_stepped_over_total").value() == 2U);
}

BOOST_AUTO_TEST_CASE(an_empty_store_catches_up_by_changes_or_by_a_snapshot)
{
    for (auto sequence = std::uint64_t(1); sequence <= 5; ++sequence) {
        offer(sequence, { putProfile("p" + std::to_string(sequence)) });
    }
    auto byChanges = configuration_store(counters);
    for (const auto &change : store.changesAfter(0, 100)) {
        byChanges.offer(change.sequence, change.value, change_source::peer);
    }
    const auto snapshot = store.snapshot();
    auto bySnapshot = configuration_store(counters);
    BOOST_TEST((bySnapshot.offer(snapshot.sequence, snapshot.value, change_source::peer) == offer_result::applied));
    for (const auto *other : { &byChanges, &bySnapshot }) {
        BOOST_TEST(other->sequence() == 5U);
        BOOST_TEST((other->read()->profiles.at("p3").id == store.read()->profiles.at("p3").id));
    }
    BOOST_TEST(bySnapshot.changesAfter(2, 100).front().sequence == 5U);
}

BOOST_AUTO_TEST_CASE(a_store_is_not_up_to_date_while_a_peer_has_a_newer_configuration)
{
    BOOST_TEST(!store.isUpToDate());
    store.noteLoaded();
    BOOST_TEST(store.isUpToDate());
    store.notePeerSequence(1);
    BOOST_TEST(!store.isUpToDate());
    offer(1, { putProfile("quick") });
    BOOST_TEST(store.isUpToDate());
}

BOOST_AUTO_TEST_CASE(a_refresh_of_the_watcher_applies_all_listed_changes)
{
    auto platform = memory_store();
    auto why = last_reason();
    for (auto sequence = std::uint64_t(1); sequence <= 3; ++sequence) {
        const auto text = changeText(sequence, { putProfile("p" + std::to_string(sequence)) });
        runCoroutine(platform.create(changeKind, changeName(sequence), text, why));
    }
    auto watcher = configuration_watcher<memory_store>(platform, store, 1);
    BOOST_TEST(runCoroutine(watcher.refresh(why)));
    BOOST_TEST(store.sequence() == 3U);
    BOOST_TEST(store.isUpToDate());
}

BOOST_AUTO_TEST_SUITE_END()
