#include "marjoramloom/gateway/server_change_log.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto changeAt(std::uint64_t revision) -> server_change
{
    auto object =
        stored_object{ .kind = {}, .name = "server-" + std::to_string(revision), .revision = revision, .value = {} };
    return { .object = std::move(object), .removed = false };
}

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
    BOOST_TEST(log.changesAfter(10, 99)->size() == 3U);
    BOOST_TEST(log.changesAfter(12, 99)->front().object.revision == 15U);
    BOOST_TEST(log.changesAfter(10, 2)->back().object.revision == 15U);
    BOOST_TEST(log.changesAfter(25, 99)->empty());
}

BOOST_AUTO_TEST_CASE(no_changes_are_returned_for_a_revision_before_the_log)
{
    auto log = server_change_log();
    BOOST_TEST(log.changesAfter(0, 99)->empty());
    log.reset(10);
    BOOST_TEST(!log.changesAfter(9, 99).has_value());
    for (auto revision = std::uint64_t(11); revision < 11 + server_change_log::CAPACITY + 5; ++revision) {
        log.add(changeAt(revision));
    }
    BOOST_TEST(!log.changesAfter(11, 9'999).has_value());
    const auto oldest = log.revision() - server_change_log::CAPACITY;
    BOOST_TEST(log.changesAfter(oldest, 9'999)->size() == server_change_log::CAPACITY);
}

BOOST_AUTO_TEST_SUITE_END()
