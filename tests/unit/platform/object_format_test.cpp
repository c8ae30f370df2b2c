#include "platform/object_format.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(object_format_test)

BOOST_AUTO_TEST_CASE(an_encoded_object_is_decoded_unchanged)
{
    for (const auto *value : { R"({"a":1,"b":["c"]})", "plain text", "" }) {
        const auto body = platform::encodeObject("name", value, 7);
        auto why = last_reason();
        const auto object = platform::decodeObject("kind", body, why);
        BOOST_REQUIRE(object.has_value());
        BOOST_TEST(object->name == "name");
        BOOST_TEST(object->revision == 7U);
        BOOST_TEST(object->value == value);
    }
}

BOOST_AUTO_TEST_CASE(pages_and_event_batches_skip_and_count_invalid_objects)
{
    auto why = last_reason();
    auto unreadable = std::size_t(0);
    const auto page = platform::decodePage(
        "kind", R"({"entries":["...",{"metadata":{"name":"a","revision":3},"spec":{}},{"metadata":{"name":5}}],
                    "truncated":true,"at":9})",
        unreadable, why);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->objects.size() == 1U);
    BOOST_TEST(page->hasMore);
    BOOST_TEST(!page->lastName.has_value());
    BOOST_TEST(page->revision == 9U);
    BOOST_TEST(unreadable == 2U);
    const auto odd = platform::decodePage(
        "kind",
        R"({"entries":[{"metadata":{"name":"a","revision":3}},{"metadata":{"name":"b","revision":"?"}}],"at":9})",
        unreadable, why);
    BOOST_REQUIRE(odd.has_value());
    BOOST_TEST(odd->objects.size() == 1U);
    BOOST_TEST((odd->lastName == "b"));
    const auto batch = platform::decodeEvents(
        "kind",
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":10}}},{"object":"..."},7],"at":11})",
        why);
    BOOST_REQUIRE(batch.has_value());
    BOOST_REQUIRE(batch->events.size() == 1U);
    BOOST_TEST((batch->events[0].kind == watch_event_kind::remove));
    BOOST_TEST(batch->unreadable == 2U);
    BOOST_TEST(batch->revision == 11U);
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_is_rejected_with_a_reason)
{
    for (const auto *body : { "", "[]", R"({"entries":5,"at":1})", R"({"entries":[]})", R"({"entries":[],"at":-1})" }) {
        auto why = last_reason();
        auto unreadable = std::size_t(0);
        BOOST_TEST(!platform::decodePage("kind", body, unreadable, why).has_value());
        BOOST_TEST((why.kind == failure_kind::protocolViolation));
    }
}

BOOST_AUTO_TEST_CASE(an_entry_of_another_writer_does_not_make_the_other_entries_unreadable)
{
    const auto nested = std::string(200, '[') + std::string(200, ']');
    const auto nestedDeeply = R"({"a":)" + std::string(5'000, '[') + R"("]","\"[")" + std::string(5'000, ']') + "}";
    const auto nestedObjects = [] {
        auto text = std::string("{}");
        for (auto level = 0; level < 5'000; ++level) {
            text.insert(0, R"({"b":)").append("}");
        }
        return text;
    }();
    for (const auto &spec : { std::string("\"\xff\xfe\""), std::string("{\"a\":\"\x80\"}"), nested,
                              std::string("1e400"), std::string("[-1e99999999999999999999,1E+5]"), nestedDeeply,
                              nestedObjects, std::string("123456789012345678901234567890"), std::string("\"\\ud800\""),
                              std::string("\"\\udcff a \\\\ud800 \\ud83d\\ude00 \\udbffx\"") }) {
        BOOST_TEST_CONTEXT("spec " << spec)
        {
            const auto strange = R"({"metadata":{"name":"strange","revision":8},"spec":)" + spec + "}";
            const auto sound = std::string(R"({"metadata":{"name":"sound","revision":9},"spec":{"state":"ready"}})");
            auto why = last_reason();
            auto unreadable = std::size_t(0);
            const auto page = platform::decodePage(
                "servers", R"({"entries":[)" + strange + "," + sound + R"(],"at":9})", unreadable, why);
            BOOST_REQUIRE(page.has_value());
            BOOST_TEST(page->objects.back().name == "sound");
            const auto batch = platform::decodeEvents(
                "servers", R"({"events":[{"object":)" + strange + R"(},{"object":)" + sound + R"(}],"at":9})", why);
            BOOST_REQUIRE(batch.has_value());
            BOOST_TEST(batch->events.back().object.name == "sound");
            // The entry itself is known by its name, so that what it replaces is not used any more.
            BOOST_TEST(batch->events.front().object.name == "strange");
        }
    }
}

BOOST_AUTO_TEST_CASE(request_targets_contain_kind_name_and_revision)
{
    BOOST_TEST(platform::pageTarget("servers", "") == "/v1/objects/servers");
    BOOST_TEST(platform::pageTarget("servers", "x") == "/v1/objects/servers?after=x");
    BOOST_TEST(platform::objectTargetAt("servers", "x", 5) == "/v1/objects/servers/x?revision=5");
    BOOST_TEST(platform::watchTarget("servers", 5, std::chrono::milliseconds(1'500))
               == "/v1/objects/servers?subscription=5&wait_ms=1500");
}

BOOST_AUTO_TEST_CASE(names_with_special_characters_are_percent_encoded_in_request_targets)
{
    const auto name = std::string("a b&c+d#e%f/g?h=\xc3\xa4\xff");
    const auto encoded = std::string("a%20b%26c%2Bd%23e%25f%2Fg%3Fh%3D%C3%A4%FF");
    BOOST_TEST(platform::pageTarget("servers", name) == "/v1/objects/servers?after=" + encoded);
    BOOST_TEST(platform::pageTarget("servers", name, read_freshness::mayBeStale)
               == "/v1/objects/servers?allow_stale=1&after=" + encoded);
    BOOST_TEST(platform::objectTarget("servers", name) == "/v1/objects/servers/" + encoded);
    BOOST_TEST(platform::objectTargetAt("servers", name, 5) == "/v1/objects/servers/" + encoded + "?revision=5");
    BOOST_TEST(platform::objectTarget("servers", "i-7_x.Y~") == "/v1/objects/servers/i-7_x.Y~");
}

BOOST_AUTO_TEST_SUITE_END()
