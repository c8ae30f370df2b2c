#include "marjoramloom/gateway/server_log.h"

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

BOOST_AUTO_TEST_SUITE(server_log_test)

BOOST_AUTO_TEST_CASE(changes_follow_a_revision_in_order)
{
    auto log = server_log();
    log.restart(10);
    for (const auto revision : { 12U, 15U, 19U }) {
        log.add(changeAt(revision));
    }
    log.reach(25);
    BOOST_TEST(log.revision() == 25U);
    BOOST_TEST(log.since(10, 99)->size() == 3U);
    BOOST_TEST(log.since(12, 99)->front().object.revision == 15U);
    BOOST_TEST(log.since(10, 2)->back().object.revision == 15U);
    BOOST_TEST(log.since(25, 99)->empty());
}

BOOST_AUTO_TEST_CASE(what_is_no_longer_kept_is_not_made_up)
{
    auto log = server_log();
    BOOST_TEST(log.since(0, 99)->empty());
    log.restart(10);
    BOOST_TEST(!log.since(9, 99).has_value());
    for (auto revision = std::uint64_t(11); revision < 11 + server_log::LENGTH + 5; ++revision) {
        log.add(changeAt(revision));
    }
    BOOST_TEST(!log.since(11, 9'999).has_value());
    const auto oldest = log.revision() - server_log::LENGTH;
    BOOST_TEST(log.since(oldest, 9'999)->size() == server_log::LENGTH);
}

BOOST_AUTO_TEST_SUITE_END()
