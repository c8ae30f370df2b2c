#include "marjoramloom/gateway/knowledge/server_change_log.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto changeAt(std::uint64_t revision) -> server_change
{
    auto object =
        stored_object{ .kind = {}, .name = "server-" + std::to_string(revision), .revision = revision, .value = {} };
    return { .object = std::move(object), .removed = false };
}

constexpr auto maxBytes = std::size_t(1'000);

} // namespace

BOOST_AUTO_TEST_SUITE(server_change_log_test)

BOOST_AUTO_TEST_CASE(changes_after_a_revision_are_returned_in_order)
{
    auto log = server_change_log();
    log.reset(10);
    for (const auto revision : { 12U, 15U, 19U }) {
        log.add(changeAt(revision));
    }
    log.advanceTo(25);
    BOOST_TEST(log.revision() == 25U);
    BOOST_TEST(log.changesAfter(10, 99, maxBytes)->size() == 3U);
    BOOST_TEST(log.changesAfter(12, 99, maxBytes)->front().object.revision == 15U);
    BOOST_TEST(log.changesAfter(10, 2, maxBytes)->back().object.revision == 15U);
    BOOST_TEST(log.changesAfter(25, 99, maxBytes)->empty());
}

BOOST_AUTO_TEST_CASE(no_changes_are_returned_for_a_revision_before_the_log)
{
    auto log = server_change_log();
    BOOST_TEST(log.changesAfter(0, 99, maxBytes)->empty());
    log.reset(10);
    BOOST_TEST(!log.changesAfter(9, 99, maxBytes).has_value());
    for (auto revision = std::uint64_t(11); revision < 11 + server_change_log::CAPACITY + 5; ++revision) {
        log.add(changeAt(revision));
    }
    BOOST_TEST(!log.changesAfter(11, 9'999, maxBytes).has_value());
    const auto oldest = log.revision() - server_change_log::CAPACITY;
    constexpr auto bytesOfAll = std::size_t(1) << 20U;
    BOOST_TEST(log.changesAfter(oldest, 9'999, bytesOfAll)->size() == server_change_log::CAPACITY);
}

BOOST_AUTO_TEST_CASE(entries_beyond_a_number_of_bytes_are_left_for_the_next_update)
{
    auto log = server_change_log();
    log.reset(10);
    BOOST_TEST(log.newestChange() == 0U);
    for (auto revision = 11U; revision <= 13; ++revision) {
        auto change = changeAt(revision);
        change.object.value = std::string(600, 'x');
        log.add(std::move(change));
    }
    BOOST_TEST(log.newestChange() == 13U);
    BOOST_TEST(log.changesAfter(10, 99, maxBytes)->size() == 1U);
    BOOST_TEST(log.changesAfter(10, 99, 2 * maxBytes)->size() == 3U);
    // An entry that is larger alone does not hold up the others.
    BOOST_TEST(log.changesAfter(11, 99, 100)->front().object.revision == 12U);
}

BOOST_AUTO_TEST_CASE(a_change_that_does_not_fit_into_a_datagram_is_left_to_the_next_read_of_the_list)
{
    auto log = server_change_log();
    log.reset(10);
    log.add(changeAt(11));
    auto change = changeAt(12);
    change.object.name = std::string(server_change_log::MAX_CHANGE_BYTES + 1, 'n');
    log.add(std::move(change));
    log.add(changeAt(13));
    BOOST_TEST(log.revision() == 13U);
    BOOST_TEST(!log.changesAfter(11, 99, maxBytes).has_value());
    BOOST_TEST(log.changesAfter(12, 99, maxBytes)->size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
