#include "marjoramloom/gateway/knowledge/store_contact.h"

#include "gateway/knowledge/datagram_codec.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto start = boot_time(1'000s);

} // namespace

BOOST_AUTO_TEST_SUITE(store_contact_test)

BOOST_AUTO_TEST_CASE(answers_far_apart_show_an_interruption_unless_another_router_got_answers)
{
    auto contact = store_contact();
    BOOST_TEST(!contact.latest().has_value());
    contact.noteAnswer(start);
    contact.noteAnswer(start + store_contact::MAX_GAP);
    BOOST_TEST((contact.latest()->since == start));
    contact.noteAnswer(start + 10s);
    BOOST_TEST((contact.latest()->since == start + 10s));
    contact.noteInterval({ .since = start + 5s, .until = start + 9s });
    BOOST_TEST((contact.latest()->since == start + 5s));
    BOOST_TEST((contact.latest()->until == start + 10s));
    contact.noteInterval({ .since = start, .until = start + 3s });
    BOOST_TEST((contact.latest()->since == start + 5s));
}

BOOST_AUTO_TEST_CASE(routers_do_not_confirm_each_other_without_an_answer_of_the_store)
{
    auto first = store_contact();
    auto second = store_contact();
    first.noteAnswer(start - 10ms);
    first.noteAnswer(start);
    const auto tell = [](const store_contact &from, store_contact &to, boot_time now) {
        auto message = wire::RouterDatagram();
        write(*from.latest(), now, message);
        if (const auto answered = readStoreContact(message, now)) {
            to.noteInterval(*answered);
        }
    };
    for (auto round = 0; round < 20; ++round) {
        tell(first, second, start + round * 500ms);
        tell(second, first, start + round * 500ms);
    }
    BOOST_TEST((first.latest()->until == start));
    BOOST_TEST((second.latest()->until == start));
}

BOOST_AUTO_TEST_CASE(an_interval_is_never_longer_after_it_was_sent)
{
    const auto sent = store_contact::interval{ .since = start - 2'500'500us, .until = start - 300'500us };
    auto message = wire::RouterDatagram();
    write(sent, start, message);
    const auto received = readStoreContact(message, start);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->since >= sent.since));
    BOOST_TEST((received->until <= sent.until));
    BOOST_TEST((received->since == start - 2'500ms));
    BOOST_TEST(!readStoreContact(wire::RouterDatagram(), start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
