#include "marjoramloom/gateway/knowledge/router_uses.h"

#include "gateway/knowledge/datagram_codec.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(router_uses_test)

BOOST_AUTO_TEST_CASE(a_relayed_report_keeps_its_age_and_an_older_one_changes_nothing)
{
    const auto now = time_point(100s);
    auto uses = router_uses();
    const auto sent = router_use{ .router = 7,
                                  .cores = 0.5,
                                  .use = 0.25,
                                  .arrivals = 30,
                                  .refusals = 4,
                                  .demand = 1.5,
                                  .reason = absence_reason::overload,
                                  .reasonSince = now - 2s,
                                  .isAbsent = true,
                                  .measuredAt = now - 400ms };
    auto message = wire::RouterUse();
    write(sent, now, message);
    uses.note(readUse(message, now), now);
    auto older = sent;
    older.measuredAt = now - 800ms;
    older.reason = absence_reason::none;
    uses.note(older, now);
    BOOST_REQUIRE(uses.recent(now).size() == 1U);
    const auto &known = uses.recent(now).front();
    BOOST_TEST((known.reason == absence_reason::overload && known.isAbsent));
    BOOST_TEST((known.measuredAt == now - 400ms && known.reasonSince == now - 2s));
    BOOST_TEST(known.use == 0.25);
    BOOST_TEST(known.demand == 1.5);
    BOOST_TEST(known.arrivals == 30);
    BOOST_TEST(known.refusals == 4);
    BOOST_TEST(uses.recent(now + rotation_policy::MAX_REPORT_AGE).empty());
}

// One router with wrong values must neither displace the reports of others nor count for ever.
BOOST_AUTO_TEST_CASE(a_report_from_the_future_or_without_cores_does_no_harm)
{
    const auto now = time_point(100s);
    auto uses = router_uses();
    uses.note({ .router = 1, .cores = 0, .measuredAt = now }, now);
    uses.note({ .router = 2, .cores = 1, .demand = 1e9, .measuredAt = now + 1h }, now);
    BOOST_REQUIRE(uses.recent(now).size() == 1U);
    BOOST_TEST(uses.recent(now).front().demand == router_uses::MAX_DEMAND);
    BOOST_TEST(uses.recent(now + rotation_policy::MAX_REPORT_AGE + 1ms).empty());
}

BOOST_AUTO_TEST_CASE(a_datagram_relays_the_absent_the_most_loaded_and_the_largest_routers)
{
    const auto now = time_point(100s);
    auto uses = router_uses();
    for (auto router = std::uint64_t(1); router <= 85; ++router) {
        auto use = router_use{
            .router = router, .cores = 0.1, .demand = 0.01 * static_cast<double>(router), .measuredAt = now
        };
        use.cores = router == 5 ? 0.5 : 0.1;
        use.reason = router == 3 ? absence_reason::overload : absence_reason::none;
        uses.note(use, now);
    }
    const auto relayed = uses.forRelay({ .router = 100, .measuredAt = now }, now);
    BOOST_REQUIRE(relayed.size() == router_uses::MAX_RELAYED);
    BOOST_TEST(relayed[0].router == 100U);
    BOOST_TEST(relayed[1].router == 3U);
    BOOST_TEST(relayed[2].router == 85U);
    // Without it, routers of a large data centre would not know of room at a larger one.
    BOOST_TEST(relayed[7].router == 5U);
    auto datagram = wire::RouterDatagram();
    for (const auto &use : relayed) {
        write(use, now, *datagram.add_uses());
    }
    // With two datagrams every 250 ms, under 4 KB a second.
    BOOST_TEST(datagram.ByteSizeLong() < 450U);
}

BOOST_AUTO_TEST_SUITE_END()
