#include "marjoramloom/gateway/traffic/event_splitter.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(event_splitter_test)

BOOST_AUTO_TEST_CASE(events_are_complete_for_every_size_of_the_chunks_fed)
{
    const auto text = std::string("id: 1\ndata: one\n\nid:2\ndata: two\ndata: more\n\ndata: no id\n\n");
    for (auto size = std::size_t(1); size <= text.size(); ++size) {
        auto splitter = event_splitter();
        auto joined = std::string();
        auto ids = std::vector<std::int64_t>();
        for (auto at = std::size_t(0); at < text.size(); at += size) {
            for (const auto &event : splitter.feed(std::string_view(text).substr(at, size))) {
                joined += event.bytes;
                ids.push_back(event.id.value_or(-1));
            }
        }
        BOOST_TEST(joined == text);
        BOOST_TEST(ids == (std::vector<std::int64_t>{ 1, 2, -1 }), boost::test_tools::per_element());
        BOOST_TEST(!splitter.hasPartialEvent());
    }
}

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_not_returned)
{
    auto splitter = event_splitter();
    BOOST_TEST(splitter.feed("id: 1\ndata: on").empty());
    BOOST_TEST(splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_SUITE_END()
