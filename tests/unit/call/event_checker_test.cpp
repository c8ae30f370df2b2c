#include "marjoramloom/call/event_checker.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto event(const std::string &id, std::uint64_t sequence, const std::string &bodyId, const std::string &finish = "null")
    -> sse_event
{
    return { id + ':' + std::to_string(sequence),
             R"({"id":")" + bodyId + R"(","choices":[{"delta":{"content":"t"},"finish_reason":)" + finish + "}]}" };
}

auto verdictOf(event_checker &checker, const sse_event &arrived) -> std::string_view
{
    return nameOf(checker.check(arrived).verdict);
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_checker_test)

BOOST_AUTO_TEST_CASE(duplicate_and_missing_events_are_detected)
{
    auto checker = event_checker("a-1");
    BOOST_TEST(checker.lastEventId().empty());
    BOOST_TEST(verdictOf(checker, event("a-1", 0, "a-1")) == "next");
    BOOST_TEST(verdictOf(checker, event("a-1", 0, "a-1")) == "repeated");
    BOOST_TEST(verdictOf(checker, event("a-1", 2, "a-1")) == "gap");
    BOOST_TEST(verdictOf(checker, event("a-1", 1, "a-1", "\"stop\"")) == "finish");
    BOOST_TEST(verdictOf(checker, { "a-1:2", "[DONE]" }) == "done");
    BOOST_TEST(checker.lastEventId() == "a-1:2");
}

BOOST_AUTO_TEST_CASE(events_of_other_requests_are_rejected)
{
    auto checker = event_checker("a-1");
    BOOST_TEST(verdictOf(checker, event("b-1", 0, "b-1")) == "crossed");
    BOOST_TEST(verdictOf(checker, event("a-1", 0, "b-1")) == "crossed");
    BOOST_TEST(verdictOf(checker, event("a-11", 0, "a-1")) == "crossed");
    BOOST_TEST(verdictOf(checker, event("a-", 0, "a-1")) == "crossed");
    BOOST_TEST(verdictOf(checker, { "", "{}" }) == "crossed");
    BOOST_TEST(verdictOf(checker, { "a-1:-1", "{}" }) == "crossed");
    BOOST_TEST(verdictOf(checker, { "a-1:0x", "{}" }) == "crossed");
    BOOST_TEST(checker.accepted() == 0U);
}

BOOST_AUTO_TEST_CASE(an_end_marker_before_the_last_piece_and_pieces_after_it_are_malformed)
{
    auto checker = event_checker("a-1");
    BOOST_TEST(verdictOf(checker, { "a-1:0", "[DONE]" }) == "malformed");
    BOOST_TEST(verdictOf(checker, { "a-1:0", "{\"id\"" }) == "malformed");
    BOOST_TEST(verdictOf(checker, event("a-1", 0, "a-1", "\"stop\"")) == "finish");
    BOOST_TEST(verdictOf(checker, event("a-1", 1, "a-1")) == "malformed");
}

BOOST_AUTO_TEST_CASE(events_parse_identically_for_any_split_of_the_bytes)
{
    auto random = boost::random::mt19937(11);
    const auto bytes =
        std::string(": comment\nid: a:0\r\ndata: one\n\nevent: x\ndata:two\ndata: three\nid: a:1\n\nid: a:2\n\n"
                    "data: cut off");
    for (auto round = 0; round < 200; ++round) {
        auto reader = sse_reader();
        auto events = std::vector<sse_event>();
        auto rest = std::string_view(bytes);
        while (!rest.empty()) {
            const auto size = boost::random::uniform_int_distribution<std::size_t>(1, rest.size())(random);
            for (auto &complete : reader.feed(rest.substr(0, size))) {
                events.push_back(std::move(complete));
            }
            rest.remove_prefix(size);
        }
        BOOST_REQUIRE(events.size() == 2U);
        BOOST_TEST(events[0].id == "a:0");
        BOOST_TEST(events[0].data == "one");
        BOOST_TEST(events[1].id == "a:1");
        BOOST_TEST(events[1].data == "two\nthree");
    }
}

BOOST_AUTO_TEST_CASE(an_event_over_the_size_limit_stops_the_reader)
{
    auto reader = sse_reader();
    const auto part = std::string(100'000, 'x');
    for (auto round = 0; round < 20 && !reader.overflowed(); ++round) {
        BOOST_TEST(reader.feed(part).empty());
    }
    BOOST_TEST(reader.overflowed());
}

BOOST_AUTO_TEST_SUITE_END()
