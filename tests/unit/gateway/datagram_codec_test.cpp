#include "gateway/knowledge/datagram_codec.h"

#include "marjoramloom/store/store_revision.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(datagram_codec_test)

BOOST_AUTO_TEST_CASE(revisions_keep_their_eras_between_routers_and_routers_of_an_earlier_version_state_none)
{
    auto query = store_query{ .number = 1,
                              .serversRevision = orderedRevision(2, 990),
                              .configurationRevision = orderedRevision(1, 995) };
    auto question = wire::StoreQuestion();
    write(query, question);
    BOOST_TEST(question.servers_revision() == 990U);
    BOOST_TEST(readStoreQuery(question).serversRevision == query.serversRevision);
    BOOST_TEST(readStoreQuery(question).configurationRevision == query.configurationRevision);
    auto update = store_update();
    update.configurationRevision = orderedRevision(1, 995);
    update.serversBaseRevision = orderedRevision(1, 993);
    update.serversRevision = orderedRevision(2, 991);
    update.changes.push_back(
        { .object = { .kind = {}, .name = "a", .revision = orderedRevision(2, 990), .value = {} }, .removed = true });
    update.evacuations = evacuation_set{ .revision = orderedRevision(2, 7), .names = { "north" } };
    auto news = wire::StoreNews();
    write(update, news);
    const auto read = readStoreUpdate(news);
    BOOST_TEST(read.configurationRevision == update.configurationRevision);
    BOOST_TEST(read.serversBaseRevision == update.serversBaseRevision);
    BOOST_TEST(read.serversRevision == update.serversRevision);
    BOOST_TEST(read.changes.front().object.revision == update.changes.front().object.revision);
    BOOST_TEST(read.evacuations->revision == update.evacuations->revision);
    BOOST_TEST(read.statesEras);
    BOOST_TEST(read.evacuations->statesEra);
    news.clear_servers_era();
    news.mutable_evacuated()->clear_era();
    BOOST_TEST(readStoreUpdate(news).serversRevision == 991U);
    BOOST_TEST(!readStoreUpdate(news).statesEras);
    BOOST_TEST(!readStoreUpdate(news).evacuations->statesEra);
    question.clear_servers_era();
    BOOST_TEST(!readStoreQuery(question).statesEras);
}

BOOST_AUTO_TEST_CASE(a_change_of_an_entry_whose_name_is_not_utf8_does_not_make_the_datagram_unreadable)
{
    const auto name = std::string("a\xff\xc3");
    auto update = store_update();
    update.changes.push_back({ .object = { .kind = {}, .name = name, .revision = 1, .value = {} }, .removed = true });
    auto sent = wire::RouterDatagram();
    write(update, *sent.mutable_news());
    auto received = wire::RouterDatagram();
    BOOST_REQUIRE(received.ParseFromString(sent.SerializeAsString()));
    BOOST_TEST(readStoreUpdate(received.news()).changes.front().object.name == name);
}

BOOST_AUTO_TEST_SUITE_END()
